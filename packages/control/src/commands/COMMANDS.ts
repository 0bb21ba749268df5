import type { Command } from '../Types.js';
import * as configDiff from './configDiff.js';
import * as configHistory from './configHistory.js';
import * as configPublish from './configPublish.js';
import * as configShow from './configShow.js';
import * as configValidate from './configValidate.js';
import * as explain from './explain.js';
import * as fleet from './fleet.js';
import * as inDoubtList from './inDoubtList.js';
import * as inDoubtResolve from './inDoubtResolve.js';
import * as keyGive from './keyGive.js';
import * as keyList from './keyList.js';
import * as keyWithdraw from './keyWithdraw.js';
import * as programEnd from './programEnd.js';
import * as programShow from './programShow.js';

/** All commands of `limpettackctl`. */
export const COMMANDS: readonly Command[] = [
  configShow.CONFIG_SHOW,
  configValidate.CONFIG_VALIDATE,
  configDiff.CONFIG_DIFF,
  configPublish.CONFIG_PUBLISH,
  configHistory.CONFIG_HISTORY,
  keyGive.KEY_GIVE,
  keyWithdraw.KEY_WITHDRAW,
  keyList.KEY_LIST,
  fleet.FLEET_COMMAND,
  explain.EXPLAIN,
  programShow.PROGRAM_SHOW,
  programEnd.PROGRAM_END,
  inDoubtList.IN_DOUBT_LIST,
  inDoubtResolve.IN_DOUBT_RESOLVE,
];
