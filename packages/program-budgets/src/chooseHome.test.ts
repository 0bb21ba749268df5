import * as jestGlobals from '@jest/globals';
import * as chooseHome from './chooseHome.js';

const { describe, expect, test } = jestGlobals;

const OWNERS = ['first', 'second', 'third'];

describe('chooseHome', () => {
  test('chooses the owner first', () => {
    expect(chooseHome.chooseHome(OWNERS, [])).toEqual({ address: 'first', isInsisting: false });
  });

  test('follows a home that names another owner, without insisting', () => {
    const next = chooseHome.chooseHome(OWNERS, [named('first', 'third')]);
    expect(next).toEqual({ address: 'third', isInsisting: false });
  });

  test('makes the home that was tried first serve when two homes name each other', () => {
    const next = chooseHome.chooseHome(OWNERS, [named('first', 'third'), named('third', 'first')]);
    expect(next).toEqual({ address: 'first', isInsisting: true });
  });

  test('chooses the next owner without insisting when the first one is unresponsive', () => {
    const next = chooseHome.chooseHome(OWNERS, [unresponsive('first')]);
    expect(next).toEqual({ address: 'second', isInsisting: false });
  });

  test('makes a home serve that names an unresponsive owner', () => {
    const next = chooseHome.chooseHome(OWNERS, [unresponsive('first'), named('second', 'first')]);
    expect(next).toEqual({ address: 'second', isInsisting: true });
  });

  test('returns undefined when all owners are unresponsive', () => {
    expect(chooseHome.chooseHome(OWNERS, OWNERS.map(unresponsive))).toBeUndefined();
  });
});

function named(address: string, owner: string): chooseHome.HomeAttempt {
  return { address, isUnresponsive: false, namedOwner: owner };
}

function unresponsive(address: string): chooseHome.HomeAttempt {
  return { address, isUnresponsive: true, namedOwner: undefined };
}
