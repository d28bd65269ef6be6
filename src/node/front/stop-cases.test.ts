import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {stopCases} from './stop-case-table.test.ts';
import {type StopTarget, startStopCases} from './stop-case.test.ts';
import {startFrontend} from './test-utilities.test.ts';

/** Simulated grace period of a VM, longer than any call in this test; connections that are still open after it are cut. */
const graceMilliseconds: Milliseconds = 3000;

/** Starts only the callers' listener. Its planned stop has two steps, which the daemon runs one after the other. */
async function startCallerServer(owned: DisposableStore, backendPort: number, firstStep: 'closeIdle' | 'stopListening'): Promise<StopTarget> {
	const targetStore = owned.add(new DisposableStore());
	const {server, ended, url} = await startFrontend(targetStore, [backendPort], {stallMilliseconds: 5000});
	const killController = new AbortController();
	const kill = () => {
		killController.abort();
		targetStore.dispose();
	};

	return {
		port: Number(new URL(url).port),
		pathPrefix: '/services/orders/',
		// A backend server without a load report so far receives a single trial call.
		initialConcurrency: 1,
		endedCalls: () => ended.length,
		hasEnded: () => killController.signal.aborted,
		async stop() {
			server[firstStep]();
			void delay(graceMilliseconds, undefined, {signal: killController.signal}).then(kill, () => undefined);
		},
		async finish() {
			server.stopListening();
			while (!killController.signal.aborted && await server.countConnections() > 0) {
				await delay(10);
			}

			kill();
		},
	};
}

for (const firstStep of ['closeIdle', 'stopListening'] as const) {
	describe(`CallerServer, when a planned stop starts with ${firstStep} while`, function () {
		this.timeout(20_000);

		const outcomes = new Map<string, Promise<readonly string[]>>();
		before(() => {
			startStopCases(stopCases, async (owned, port) => startCallerServer(owned, port, firstStep), outcomes);
		});

		// A planned stop must neither lose nor truncate a call, whatever state the call is in.
		for (const {title} of stopCases) {
			it(title, async () => {
				expect(await outcomes.get(title)).toEqual([]);
			});
		}
	});
}
