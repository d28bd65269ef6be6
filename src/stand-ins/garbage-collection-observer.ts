/** Loaded into a measured process: on SIGUSR2 tells its garbage collection pauses since the last time. */
import {PerformanceObserver} from 'node:perf_hooks';
import process from 'node:process';

let count = 0;
let total = 0;
let longest = 0;

new PerformanceObserver(list => {
	for (const entry of list.getEntries()) {
		count++;
		total += entry.duration;
		longest = Math.max(longest, entry.duration);
	}
}).observe({entryTypes: ['gc']});

process.on('SIGUSR2', () => {
	process.stderr.write(`${JSON.stringify({pauses: count, totalMilliseconds: total, longestMilliseconds: longest})}\n`);
	count = 0;
	total = 0;
	longest = 0;
});
