/**
 * Runs a soak test with faults: `node --import=tsx src/proof/soak/main.ts --seconds N`. Prints memory, open files, timers
 * and handles of each VM over time, and their means in the middle and the last part of the run, to show leaks.
 */
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import sade from 'sade';
import {z} from 'zod';
import {seededRandom} from '../../common/random/random.ts';
import {standInClient} from '../../stand-ins/stand-in-client.ts';
import {expectedHash, type ProofCall, sendCall} from '../faults/proof-caller.ts';
import {ProofFleet, serviceName} from '../faults/proof-fleet.ts';

type Options = {readonly seconds: number; readonly seed: number};
type Sample = {readonly second: number; readonly vm: string; readonly rss: number; readonly heap: number; readonly files: number; readonly timers: number; readonly handles: number};

const probeSchema = z.object({
	probe: z.literal(true), heapUsed: z.number(), rss: z.number(), counts: z.record(z.string(), z.number()),
});
const concurrentCallers = 12;
const faultMilliseconds = 1500;
const megabyte = 1_048_576;

/** Numbers of answers by kind. `wrong` counts whole answers with the wrong body. */
class Tally {
	whole = 0;
	refused = 0;
	broken = 0;
	wrong = 0;
}

async function runCaller(fleet: ProofFleet, caller: number, end: number, tally: Tally): Promise<void> {
	for (let sent = 0; performance.now() < end; sent++) {
		const isOrder = sent % 4 === 0;
		const call: ProofCall = {
			name: `soak-${caller}-${sent}`,
			method: isOrder ? 'POST' : 'GET',
			port: fleet.vms[(caller + sent) % fleet.vms.length]!.plan.callPort,
			service: serviceName,
			timeoutMilliseconds: 2000,
			workMilliseconds: 5,
			answerBytes: sent % 50 === 0 ? 1_000_000 : 2000,
			bodyBytes: isOrder ? 500 : 0,
		};
		const answer = await sendCall(call);
		if (!answer.isWhole) {
			tally.broken++;
		} else if (answer.status === 200) {
			const isRight = answer.hash === expectedHash(call);
			tally.whole += isRight ? 1 : 0;
			tally.wrong += isRight ? 0 : 1;
		} else {
			tally.refused++;
			// A refused caller waits before its next call.
			await delay(100);
		}
	}
}

async function injectFaults(fleet: ProofFleet, end: number, seed: number): Promise<void> {
	const random = seededRandom(seed);
	const backendServer = () => fleet.backendServers[Math.floor(random.next() * fleet.backendServers.length)]!;
	const faults: ReadonlyArray<() => Promise<unknown>> = [
		async () => {
			backendServer().relay.cutAll();
		},
		async () => {
			backendServer().relay.silenceAll();
		},
		async () => {
			const {program} = backendServer();
			program.signal('SIGSTOP');
			await delay(faultMilliseconds);
			program.signal('SIGCONT');
		},
		async () => {
			await standInClient.setFaults(fleet.platformPort, {mode: 'down'});
			await delay(faultMilliseconds);
			await standInClient.setFaults(fleet.platformPort, {mode: 'up'});
		},
		async () => standInClient.orderBackendServer(backendServer().relay.backendPort, {mode: random.next() < 0.5 ? 'slow' : 'normal'}),
		async () => fleet.vms[0]!.operator.putAll(fleet.resources(3000 + Math.floor(random.next() * 1000)), 'soak', faultMilliseconds, () => true),
	];
	while (performance.now() < end) {
		await delay(faultMilliseconds);
		await faults[Math.floor(random.next() * faults.length)]!();
	}
}

function collectSamples(fleet: ProofFleet, samples: Sample[]): void {
	const started = performance.now();
	for (const {plan, program} of fleet.vms) {
		program.onErrorLine(line => {
			const probe = line.startsWith('{"probe"') ? probeSchema.parse(JSON.parse(line)) : undefined;
			if (probe === undefined) {
				return;
			}

			const {Timeout: timers = 0, Immediate: _immediates, ...handles} = probe.counts;
			let open = 0;
			for (const count of Object.values(handles)) {
				open += count;
			}

			const sample: Sample = {
				second: Math.round((performance.now() - started) / 1000),
				vm: plan.name,
				rss: probe.rss / megabyte,
				heap: probe.heapUsed / megabyte,
				files: readdirSync(`/proc/${program.pid}/fd`).length,
				timers,
				handles: open,
			};
			samples.push(sample);
			const memory = `resident ${sample.rss.toFixed(1)} MB, heap ${sample.heap.toFixed(1)} MB`;
			console.log(`${String(sample.second).padStart(4)} s ${sample.vm}: ${memory}, ${sample.files} open files, ${timers} timers, ${open} handles`);
		});
	}
}

const mean = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / Math.max(1, values.length);
};

function printComparison(samples: readonly Sample[], seconds: number): void {
	// Ignores the first fifth, in which code is compiled and pools fill.
	const warmSamples = samples.filter(({second}) => second > seconds / 5);
	const middle = seconds * 0.6;
	for (const field of ['rss', 'heap', 'files', 'timers', 'handles'] as const) {
		const before = mean(warmSamples.filter(({second}) => second <= middle).map(sample => sample[field]));
		const after = mean(warmSamples.filter(({second}) => second > middle).map(sample => sample[field]));
		console.log(`${field}: ${before.toFixed(1)} in the middle part, ${after.toFixed(1)} in the last part`);
	}
}

async function main({seconds, seed}: Options): Promise<number> {
	const fleet = new ProofFleet(['--import', new URL('resource-probe.ts', import.meta.url).href]);
	try {
		const ready = await fleet.setUp();
		if (ready.isErr()) {
			console.log(ready.error.message);
			return 1;
		}

		const samples: Sample[] = [];
		const tally = new Tally();
		collectSamples(fleet, samples);
		const end = performance.now() + (1000 * seconds);
		await Promise.all([
			injectFaults(fleet, end, seed),
			...Array.from({length: concurrentCallers}, async (_, caller) => runCaller(fleet, caller, end, tally)),
		]);
		printComparison(samples, seconds);
		console.log(`seed ${seed}: ${tally.whole} whole answers, ${tally.refused} refusals, ${tally.broken} broken answers, ${tally.wrong} wrong answers`);
		return tally.wrong === 0 ? 0 : 1;
	} finally {
		fleet.dispose();
	}
}

sade('soak', true)
	.option('--seconds', 'Duration in seconds', 300)
	.option('--seed', 'Seed of the fault sequence', 1)
	.action(async (options: Options) => {
		process.exitCode = await main(options);
	})
	.parse(process.argv);
