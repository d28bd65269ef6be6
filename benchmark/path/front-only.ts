/**
 * Process that contains only the data path (callers' listener, call engine, attempts), with one service `bench`, a fixed
 * configuration and no control. The difference to the daemon is the cost of control per call.
 */
import process from 'node:process';
import sade from 'sade';
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {isCallEffect} from '../../src/common/entry-vm/entry-vm.ts';
import {describeFailure} from '../../src/common/errors/failure.ts';
import {type BackendServer, serviceSchema, backendServerSchema} from '../../src/common/model/resources.ts';
import {OrganisationDirectory} from '../../src/common/organisations/organisation-directory.ts';
import {JaydaleDialect} from '../../src/common/protocol/jaydale-dialect.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {loadHashes} from '../../src/daemon/identity.ts';
import {ProcessClock} from '../../src/node/clock.ts';
import {BackendConnections} from '../../src/node/front/backend-connections.ts';
import {DeciderLoop} from '../../src/node/decider-loop.ts';
import {CallEffectExecutor} from '../../src/node/front/call-effect-executor.ts';
import {CallerServer} from '../../src/node/front/caller-server.ts';
import {HttpLoadProbeClient} from '../../src/node/front/http-load-probe-client.ts';
import {keyDigest} from '../../src/node/key-digest.ts';
import {HeldMemory} from '../../src/node/memory/held-memory.ts';

type Options = {readonly 'backend-servers': string};

const farFutureMilliseconds = 1e12;
/** Fraction of the load probe budget of a VM that holds one of 24 share slots. */
const shareSlotFraction = 1 / 24;

function declaredServers(ports: readonly number[]): Map<string, BackendServer> {
	return new Map(ports.map(port => [`identity-${port}`, backendServerSchema.parse({
		kind: 'backend-server', name: `bench-${port}`, service: 'bench', address: '127.0.0.1', port, dataCentre: 'bench-1',
	})]));
}

async function main(options: Options): Promise<void> {
	const clock = new ProcessClock();
	const hashes = await loadHashes();
	const connections = new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 30_000});
	const engine = new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'bench-1'}});
	const loop = new DeciderLoop(engine, clock);
	const calls = new CallEffectExecutor(loop, new HttpLoadProbeClient(connections, new JaydaleDialect()), {
		claim(effect, sink) {
			sink.feed({type: 'key-claimed', callId: effect.callId, claim: {type: 'unavailable'}});
		},
		release: async () => undefined,
	});
	loop.setExecutor(effect => {
		if (isCallEffect(effect)) {
			calls.execute(effect);
		}
	});
	loop.feed({
		type: 'configured',
		configuration: {
			version: 1,
			services: new Map([['bench', serviceSchema.parse({kind: 'service', name: 'bench', timeoutMilliseconds: 600_000})]]),
			backendServers: declaredServers(options['backend-servers'].split(',').map(Number)),
			sharingRules: [],
		},
	});
	loop.feed({
		type: 'shares',
		shares: {
			loadProbeFraction: shareSlotFraction, loadProbesFrom: 0, loadProbesUntil: farFutureMilliseconds, connectionFraction: 1, vmCount: 1,
		},
	});
	const server = new CallerServer({
		sink: loop, calls, connections, addresses: () => undefined, fingerprint: hashes.fingerprint, organisations: new OrganisationDirectory(keyDigest),
		heldMemory: new HeldMemory(),
	}, {
		headBytes: 16_384, headMilliseconds: 10_000, stallMilliseconds: 120_000, idleMilliseconds: 60_000, keptBodyBytes: 65_536, bodyBytes: 1_073_741_824, connections: 10_000,
	});
	const listening = await server.listen(0, '127.0.0.1');
	listening.match(
		port => {
			console.log(JSON.stringify({listening: port}));
		},
		cause => {
			console.error(describeFailure(cause));
			process.exitCode = 1;
		},
	);
	process.once('SIGTERM', () => {
		loop.dispose();
		connections.dispose();
		server.dispose();
	});
}

sade('front-only', true)
	.option('--backend-servers', 'Ports of backend servers: PORT,PORT', '')
	.action(main)
	.parse(process.argv);
