import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {listenOn} from '../listening.ts';
import {MemoryBudget} from '../memory/memory-budget.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {FeedServer} from './feed-server.ts';
import {VmProbeClient} from './vm-probe-client.ts';

const noEvidence = {updates: [], missing: []};

const nothing = {
	revision: 0, ageMilliseconds: 0, entries: [], deleted: [], isWhole: true,
};

const noTunnels = {accepts: () => false, forward: async () => undefined};

describe('a probe of a VM over sockets', () => {
	let owned: DisposableStore;
	let results: FleetEvent[];
	let client: VmProbeClient;

	/** Waits until the given number of probes has ended, at most ten seconds. */
	async function waitForResults(count: number): Promise<void> {
		for (let tries = 0; tries < 1000 && results.length < count; tries++) {
			await delay(10);
		}
	}

	beforeEach(() => {
		owned = new DisposableStore();
		results = [];
		client = owned.add(new VmProbeClient({
			feed(event) {
				results.push(event);
			},
		}));
	});

	afterEach(() => {
		owned.dispose();
	});

	it('distinguishes the serving process from an earlier one at the same address', async () => {
		const server = owned.add(new FeedServer(noMetrics, {isServing: identity => identity === 'now-here', fullFrame: () => nothing, compareEvidence: () => noEvidence}, {
			feed() {
				// There are no subscribers.
			},
		}, noTunnels, {budget: owned.add(new MemoryBudget(1_000_000))}));
		const port = await server.listen(0, '127.0.0.1');
		const address = `127.0.0.1:${port._unsafeUnwrap()}`;
		client.probe('now-here', address);
		await waitForResults(1);
		client.probe('before', address);
		await waitForResults(2);
		expect(results).toEqual([{type: 'vm-probed', identity: 'now-here', isServing: true}, {type: 'vm-probed', identity: 'before', isServing: false}]);
	});

	it('reports a VM whose process has ended as not serving', async () => {
		client.probe('gone', '127.0.0.1:1');
		await waitForResults(1);
		expect(results).toEqual([{type: 'vm-probed', identity: 'gone', isServing: false}]);
	});

	// Fails if a probe of a VM that accepts the connection and never responds holds its socket forever.
	it('ends if a VM accepts the connection and does not respond', async () => {
		const silent = createServer(() => {
			// Reads the request and never responds.
		});
		owned.add(toDisposable(() => {
			silent.close();
			silent.closeAllConnections();
		}));
		const port = await listenOn(silent, 0, '127.0.0.1');
		client.probe('silent', `127.0.0.1:${port._unsafeUnwrap()}`);
		await waitForResults(1);
		expect(results).toEqual([{type: 'vm-probed', identity: 'silent', isServing: false}]);
	});
});
