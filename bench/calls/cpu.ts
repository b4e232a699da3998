/** CPU time of a process of the mesh. */
import { readFile } from 'node:fs/promises';

/** Linux counts CPU time in ticks of 10 ms (`getconf CLK_TCK` is 100). */
const TICK_MS = 10;

/** Returns user and system time so far in milliseconds. */
export async function readCpuMs(pid: number | undefined): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may hold blanks; utime and stime are fields 14 and 15 of all.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
}
