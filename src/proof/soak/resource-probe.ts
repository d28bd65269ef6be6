/** Loaded into a VM's process by `--import`: writes what it holds to its stream for errors, every ten seconds. */
import process from 'node:process';

const everyMilliseconds = 10_000;

setInterval(() => {
	const counts: Record<string, number> = {};
	for (const name of process.getActiveResourcesInfo()) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	const {heapUsed, rss} = process.memoryUsage();
	process.stderr.write(`${JSON.stringify({
		probe: true, heapUsed, rss, counts,
	})}\n`);
}, everyMilliseconds).unref();
