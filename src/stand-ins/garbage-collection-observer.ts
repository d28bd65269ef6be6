/** Preloaded into a measured process. On SIGUSR2 writes the garbage collection pauses since the last report to standard error. */
import {PerformanceObserver} from 'node:perf_hooks';
import process from 'node:process';

let pauseCount = 0;
let totalPauseMilliseconds = 0;
let longestPauseMilliseconds = 0;

new PerformanceObserver(list => {
	for (const entry of list.getEntries()) {
		pauseCount++;
		totalPauseMilliseconds += entry.duration;
		longestPauseMilliseconds = Math.max(longestPauseMilliseconds, entry.duration);
	}
}).observe({entryTypes: ['gc']});

process.on('SIGUSR2', () => {
	process.stderr.write(`${JSON.stringify({pauses: pauseCount, totalMilliseconds: totalPauseMilliseconds, longestMilliseconds: longestPauseMilliseconds})}\n`);
	pauseCount = 0;
	totalPauseMilliseconds = 0;
	longestPauseMilliseconds = 0;
});
