/** Loaded into a VM's process by `--import`: writes its memory and active resources as a JSON line to standard error every 10 s. */
import process from 'node:process';

const reportIntervalMilliseconds = 10_000;

setInterval(() => {
	const counts: Record<string, number> = {};
	for (const name of process.getActiveResourcesInfo()) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	const {heapUsed, rss} = process.memoryUsage();
	process.stderr.write(`${JSON.stringify({
		probe: true, heapUsed, rss, counts,
	})}\n`);
}, reportIntervalMilliseconds).unref();
