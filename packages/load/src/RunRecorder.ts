import type { Breach, CallRecord, PrefillRecord, ProgramRecord, RunRecord } from './Types.js';

/** Collects what the callers of a run see. */
export class RunRecorder implements RunRecord {
  public readonly programs: ProgramRecord[] = [];

  public readonly calls: CallRecord[] = [];

  public readonly prefills: PrefillRecord[] = [];

  public readonly breaches: Breach[] = [];

  /** Adds a program that has ended. */
  public addProgram(record: ProgramRecord): void {
    this.programs.push(record);
  }

  /** Adds a request that was answered or broke off. */
  public addCall(record: CallRecord): void {
    this.calls.push(record);
  }

  /** Adds the tokens of an answered model call. */
  public addPrefill(record: PrefillRecord): void {
    this.prefills.push(record);
  }

  /** Adds a breach of a promise. */
  public addBreach(breach: Breach): void {
    this.breaches.push(breach);
  }
}
