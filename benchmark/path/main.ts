/**
 * Benchmark `path`: the cost of a call. Compares direct calls with calls through jaydale, with real processes on loopback.
 * `node --import=tsx benchmark/path/main.ts [--json FILE] [--seconds N]`
 */
import {spawnSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {cpus} from 'node:os';
import process from 'node:process';
import sade from 'sade';
import {describeFailure} from '../../src/common/errors/failure.ts';
import {packageRoot} from '../../src/stand-ins/program-files.ts';
import {textTable} from '../../src/stand-ins/text-table.ts';
import {MeasuredTarget, type TargetKind} from './measured-target.ts';
import {
	download, PathBenchmark, smallOrder, smallRead,
} from './path-benchmark.ts';
import {type PairedResult, type PathResults} from './types.ts';

type Options = {
	readonly json?: string;
	readonly seconds: number;
	readonly 'front-only'?: boolean;
	readonly quick?: boolean;
	readonly profile?: string;
	readonly 'node-options'?: string;
};

const fixedRates = [{share: 0.3, rounds: 1}, {share: 0.6, rounds: 4}];
const downloadLengths = [10_000_000, 100_000_000];
const megabyte = 1_000_000;

function print(line: string): void {
	console.log(line);
}

function pairedTable(results: readonly PairedResult[]): string {
	return textTable(
		[
			'calls',
			'direct/s',
			'through/s',
			'share',
			'added p50 ms',
			'added p99 ms',
			'least added p99',
			'added p99.9 ms',
			'through p99 ms',
			'µs CPU/call',
			'extra runs',
			'waiting',
			'longest GC ms',
			'failed',
		],
		results.map(result => [
			result.name,
			result.direct.callsPerSecond.toFixed(0),
			result.through.callsPerSecond.toFixed(0),
			(result.through.callsPerSecond / result.direct.callsPerSecond).toFixed(2),
			result.added.p50.toFixed(3),
			result.added.p99.toFixed(3),
			result.leastAddedP99.toFixed(3),
			result.added.p999.toFixed(3),
			result.through.p99.toFixed(3),
			result.processorMicrosecondsPerCall.toFixed(1),
			result.extraRunShare.toFixed(3),
			result.waitingShare.toFixed(3),
			result.garbageCollection.longestMilliseconds.toFixed(2),
			String(result.direct.failed + result.through.failed),
		]),
	);
}

function memoryTable(memory: PathResults['memory']): string {
	return textTable(['memory', 'value'], [
		['at start, MB', (memory.startBytes / megabyte).toFixed(1)],
		['an idle connection, KB', (memory.bytesPerIdleConnection / 1000).toFixed(1)],
		['a paused download of 100 MB, KB', (memory.bytesPerPausedDownload / 1000).toFixed(1)],
		['growth while 20 are paused, MB', (memory.growthWhilePausedBytes / megabyte).toFixed(1)],
		...memory.growthInDownloads.map(({answerBytes, growthBytes}) => [`growth while downloads of ${answerBytes / megabyte} MB run, MB`, (growthBytes / megabyte).toFixed(1)]),
	]);
}

/** Measures small reads only, for a quick trial of a change. */
async function runQuick(benchmark: PathBenchmark): Promise<PairedResult[]> {
	const saturation = await benchmark.paired('reads, saturation', smallRead, 0, 3);
	const fixed = await benchmark.paired('reads, 60%', smallRead, Math.floor(saturation.through.callsPerSecond * 0.6), 3);
	return [saturation, fixed];
}

/** Builds the daemon, which is measured as in production, without the TypeScript loader; false if the build fails. */
function isBuilt(): boolean {
	const build = spawnSync(join(packageRoot, 'node_modules', '.bin', 'tsc'), ['-p', join(packageRoot, 'tsconfig.build.json')], {stdio: 'inherit'});
	return build.status === 0;
}

async function isStarted(target: MeasuredTarget, logLevel: string): Promise<boolean> {
	const started = await target.startMeasured(logLevel);
	if (started.isErr()) {
		print(describeFailure(started.error));
	}

	return started.isOk();
}

async function runAll(target: MeasuredTarget, benchmark: PathBenchmark): Promise<Pick<PathResults, 'paired' | 'memory'>> {
	const saturation = await benchmark.paired('reads, saturation', smallRead, 0, 2);
	const paired = [saturation];
	for (const {share, rounds} of fixedRates) {
		paired.push(await benchmark.paired(`reads, ${share * 100}%`, smallRead, Math.floor(saturation.through.callsPerSecond * share), rounds));
	}

	const orders = await benchmark.paired('orders, saturation', smallOrder, 0, 1);
	paired.push(
		orders,
		await benchmark.paired('orders, 60%', smallOrder, Math.floor(orders.through.callsPerSecond * 0.6), 1),
		await benchmark.paired('downloads of 100 MB', download, 0, 1),
	);
	const growthInDownloads: PathResults['memory']['growthInDownloads'] = [];
	for (const answerBytes of downloadLengths) {
		if (await isStarted(target, 'error')) {
			growthInDownloads.push({answerBytes, growthBytes: await benchmark.downloadGrowth(answerBytes)});
		}
	}

	await isStarted(target, 'error');
	const memory = await benchmark.memory(growthInDownloads);
	if (await isStarted(target, 'trace')) {
		const rate = Math.floor(saturation.through.callsPerSecond * 0.6);
		paired.push(await benchmark.paired('reads, saturation, full log', smallRead, 0, 1), await benchmark.paired('reads, same rate, full log', smallRead, rate, 1));
	}

	return {paired, memory};
}

async function main(options: Options): Promise<void> {
	const kind: TargetKind = options['front-only'] === true ? 'front-only' : 'daemon';
	const profileOptions = options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`];
	if (kind === 'daemon' && !isBuilt()) {
		process.exitCode = 1;
		return;
	}

	const target = new MeasuredTarget(kind, [...profileOptions, ...(options['node-options']?.split(' ') ?? [])]);
	process.once('exit', () => {
		target.dispose();
	});
	const setUp = await target.setUp('error');
	if (setUp.isErr()) {
		console.error(describeFailure(setUp.error));
		target.dispose();
		process.exitCode = 1;
		return;
	}

	const benchmark = new PathBenchmark(target, options.seconds, print);
	if (options.quick === true || options.profile !== undefined) {
		print(pairedTable(await runQuick(benchmark)));
		await target.stopMeasured();
		target.dispose();
		return;
	}

	const measurements = await runAll(target, benchmark);
	const results: PathResults = {
		command: `node --import=tsx benchmark/path/main.ts --seconds ${options.seconds}${kind === 'front-only' ? ' --front-only' : ''}`,
		node: process.version,
		processors: `${cpus().length} x ${cpus()[0]?.model ?? ''}`,
		target: kind,
		...measurements,
	};
	target.dispose();
	print(`\n${pairedTable(results.paired)}\n\n${memoryTable(results.memory)}`);
	if (options.json !== undefined) {
		writeFileSync(options.json, `${JSON.stringify(results, undefined, '\t')}\n`);
	}
}

sade('path', true)
	.option('--json', 'File for the results')
	.option('--seconds', 'Length of each run', 1.5)
	.option('--front-only', 'Measure the data path without control')
	.option('--quick', 'Small reads only')
	.option('--profile', 'Folder for a processor profile of the measured process; small reads only')
	.option('--node-options', 'Options of node for the measured process')
	.example('--json docs/results/path.json')
	.action(main)
	.parse(process.argv);
