/** Kills a child process at once. */
type Kill = () => void;

const kills = new Set<Kill>();

process.once('exit', () => kills.forEach((kill) => kill()));

/** Registers a child process that is killed when this process exits. */
export function addChild(kill: Kill): void {
  kills.add(kill);
}

/** Removes a registered child process. */
export function removeChild(kill: Kill): void {
  kills.delete(kill);
}
