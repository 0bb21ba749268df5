import * as url from 'node:url';
import * as control from '@limpettack/control';
import * as node from '@limpettack/node';
import * as report from '@limpettack/report';
import * as settings from '@limpettack/settings';
import * as jestGlobals from '@jest/globals';

const { describe, expect, test } = jestGlobals;

function exampleFile(name: string): string {
  return url.fileURLToPath(new URL(`../examples/${name}`, import.meta.url));
}

describe('examples', () => {
  test.each(['quito', 'kerala'])('%s has valid tables and objectives', async (name) => {
    let text = '';
    const write = (output: string): void => {
      text += output;
    };
    const commandArguments = ['config', 'validate', exampleFile(`${name}/tables.yaml`)];
    await control.runCommandLine(commandArguments, {}, { write, writeError: write });
    expect(text).toMatch(/^The file is valid: 3 routes, 2 pools, 8 workspaces/);
    const file = exampleFile(`${name}/objectives.yaml`);
    expect((await settings.readSettingsFile(file, report.OBJECTIVES)).isOk).toBe(true);
  });

  test.each(['quito', 'kerala'])('%s has valid settings of a VM', async (name) => {
    const file = exampleFile(`${name}/vm.yaml`);
    const read = await settings.readSettingsFile(file, node.NODE_SETTINGS);
    expect(read.isErr ? read.error : []).toEqual([]);
  });
});
