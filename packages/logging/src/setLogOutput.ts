import * as roarr from 'roarr';

/** Directs all log lines of this process to an output. */
export function setLogOutput(output: { write(line: string): void }): void {
  roarr.ROARR.write = (line) => output.write(line);
}
