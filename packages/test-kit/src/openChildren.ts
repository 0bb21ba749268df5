/** Kills a child process at once. */
type Kill = () => void;

const kills = new Set<Kill>();

process.once('exit', () => kills.forEach((kill) => kill()));

/** Notes a child that must not outlive this process, however this process ends. */
export function addChild(kill: Kill): void {
  kills.add(kill);
}

/** Notes that a child has ended. */
export function removeChild(kill: Kill): void {
  kills.delete(kill);
}
