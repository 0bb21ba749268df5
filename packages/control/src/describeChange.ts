import type * as configuration from '@limpettack/configuration';

/** Describes a configuration change in a few words. */
export function describeChange(change: configuration.ConfigurationChange): string {
  switch (change.kind) {
    case 'putRoute':
      return `put route ${change.route.name}`;
    case 'putPool':
      return `put pool ${change.pool.name}`;
    case 'putWorkspace':
      return `put workspace ${change.workspace.name}`;
    case 'removeRoute':
      return `remove route ${change.name}`;
    case 'removePool':
      return `remove pool ${change.name}`;
    case 'removeWorkspace':
      return `remove workspace ${change.name}`;
    case 'giveKey':
      return `give a key to workspace ${change.key.workspace}`;
    case 'withdrawKey':
      return `withdraw key ${change.digest}`;
    case 'replaceTables':
      return 'replace the tables';
    default:
      return 'unknown change';
  }
}
