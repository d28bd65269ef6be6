/** Processor time and memory of another process, read from Linux's `/proc`. */
import {readFileSync} from 'node:fs';

/** Linux counts processor time of processes in ticks of 10 ms. */
const millisecondsPerTick = 10;
const nanosecondsPerMillisecond = 1e6;
const userTimeField = 11;
const systemTimeField = 12;

/** Processor time of all threads since the start of the process, in milliseconds. */
export function processorMilliseconds(pid: number): number {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The process name in parentheses may contain spaces, so fields are counted from behind it.
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * millisecondsPerTick;
}

/**
 * Milliseconds that the main thread was ready to run but waited for a processor. On a shared machine this shows the influence
 * of other processes on a measurement; it causes the larger part of a long tail.
 */
export function waitingMilliseconds(pid: number): number {
	const [, waiting = '0'] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ');
	return Number(waiting) / nanosecondsPerMillisecond;
}

/** Resident memory in bytes. */
export function residentBytes(pid: number): number {
	const match = /^VmRSS:\s+(\d+) kB/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
	return Number(match?.[1] ?? 0) * 1024;
}
