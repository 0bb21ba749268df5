import * as jestGlobals from '@jest/globals';
import * as chooseHome from './chooseHome.js';

const { describe, expect, test } = jestGlobals;

const OWNERS = ['first', 'second', 'third'];

describe('chooseHome', () => {
  test('asks the owner first', () => {
    expect(chooseHome.chooseHome(OWNERS, [])).toEqual({ address: 'first', isInsisting: false });
  });

  test('follows a home that names another owner, without insisting', () => {
    const next = chooseHome.chooseHome(OWNERS, [named('first', 'third')]);
    expect(next).toEqual({ address: 'third', isInsisting: false });
  });

  test('two homes that name each other: the one that was asked first serves', () => {
    const next = chooseHome.chooseHome(OWNERS, [named('first', 'third'), named('third', 'first')]);
    expect(next).toEqual({ address: 'first', isInsisting: true });
  });

  test('asks the next owner when the first one is silent, and leaves the choice to it', () => {
    const next = chooseHome.chooseHome(OWNERS, [silent('first')]);
    expect(next).toEqual({ address: 'second', isInsisting: false });
  });

  test('a home that names a silent owner has to serve', () => {
    const next = chooseHome.chooseHome(OWNERS, [silent('first'), named('second', 'first')]);
    expect(next).toEqual({ address: 'second', isInsisting: true });
  });

  test('nothing is left when all owners are silent', () => {
    expect(chooseHome.chooseHome(OWNERS, OWNERS.map(silent))).toBeUndefined();
  });
});

function named(address: string, owner: string): chooseHome.HomeAnswer {
  return { address, isSilent: false, named: owner };
}

function silent(address: string): chooseHome.HomeAnswer {
  return { address, isSilent: true, named: undefined };
}
