import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {listenOn} from '../listening.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {FeedServer} from './feed-server.ts';
import {VmProbeClient} from './vm-probe-client.ts';

const nothing = {
	revision: 0, ageMilliseconds: 0, entries: [], deleted: [], isWhole: true,
};

describe('a probe of a VM over sockets', () => {
	let owned: DisposableStore;
	let results: FleetEvent[];
	let client: VmProbeClient;

	/** Waits until so many probes have ended, ten seconds at most. */
	async function told(count: number): Promise<void> {
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

	it('tells the process that serves from an earlier one at its address', async () => {
		const server = owned.add(new FeedServer(noMetrics, {isServing: identity => identity === 'now-here', whole: () => nothing}, {
			feed() {
				// Nobody follows.
			},
		}));
		const port = await server.listen(0, '127.0.0.1');
		const address = `127.0.0.1:${port._unsafeUnwrap()}`;
		client.probe('now-here', address);
		await told(1);
		client.probe('before', address);
		await told(2);
		expect(results).toEqual([{type: 'vm-probed', identity: 'now-here', isServing: true}, {type: 'vm-probed', identity: 'before', isServing: false}]);
	});

	it('finds that a VM does not serve whose process is gone', async () => {
		client.probe('gone', '127.0.0.1:1');
		await told(1);
		expect(results).toEqual([{type: 'vm-probed', identity: 'gone', isServing: false}]);
	});

	// Guards against probes of VMs that accept connections and never respond: each would hold a socket for good.
	it('ends where a VM accepts the connection and does not respond', async () => {
		const silent = createServer(() => {
			// The request is read, and nothing comes back.
		});
		owned.add(toDisposable(() => {
			silent.close();
			silent.closeAllConnections();
		}));
		const port = await listenOn(silent, 0, '127.0.0.1');
		client.probe('silent', `127.0.0.1:${port._unsafeUnwrap()}`);
		await told(1);
		expect(results).toEqual([{type: 'vm-probed', identity: 'silent', isServing: false}]);
	});
});
