import * as jestGlobals from '@jest/globals';
import * as programAccount from './ProgramAccount.js';

const { describe, expect, test } = jestGlobals;

const TURN_TOKENS = 100;

describe('ProgramAccount', () => {
  // The turn's unused tokens were deducted from a record that cannot free them, so that a program
  // got one turn less in an outage.
  test('a turn that only an uncertain record lists leaves its unused tokens to the next one', () => {
    const account = createAccount();
    reserve(account, 'a');
    expect(account.allowUncovered('a')).toBe(TURN_TOKENS);
    account.createRecord(5 * TURN_TOKENS);
    account.settle('a', 40, 0);
    reserve(account, 'b');
    expect(account.allowUncovered('b')).toBe(60);
  });

  // Another home that reads the record settles the turn too, and may grant its unused tokens.
  test.each([true, false])(
    'unused tokens of a listed turn are not counted as covered (record written: %s)',
    (isWritten) => {
      const account = createAccount(200);
      reserve(account, 'a');
      account.createRecord(300);
      if (isWritten) account.noteWritten(300);
      account.settle('a', 0, 0);
      reserve(account, 'b');
      account.settle('b', 80, 0);
      reserve(account, 'c');
      // The log covers 200 tokens, and 280 are used.
      expect(account.allowUncovered('c')).toBe(20);
    },
  );

  // The log may already hold the uncertain record, from which another home frees more.
  test('a turn that an uncertain record lists is not counted as covered by it', () => {
    const account = createAccount();
    account.createRecord(300);
    account.noteWritten(300);
    reserve(account, 'a');
    account.createRecord(320);
    account.settle('a', 10, 0);
    ['b', 'c', 'd', 'e'].forEach((call) => reserve(account, call));
    // The uncertain record covers 320 - 90 tokens; 310 are used or reserved by other turns.
    expect(account.allowUncovered('e')).toBe(20);
  });

  // The output would be forgotten when the record of another home replaces the account.
  test('output without a record is charged to the account that replaces a former one', () => {
    const former = createAccount();
    reserve(former, 'a');
    former.allowUncovered('a');
    former.settle('a', 70, 0);
    const account = createAccount(300);
    account.chargeUncovered(former);
    expect(account.committedTokens).toBe(370);
    expect(account.uncoveredTokens).toBe(70);
  });
});

function createAccount(watermark = 0): programAccount.ProgramAccount {
  return new programAccount.ProgramAccount({ watermark, open: [] }, 0);
}

function reserve(account: programAccount.ProgramAccount, call: string): void {
  account.reserve(call, TURN_TOKENS, 0);
}
