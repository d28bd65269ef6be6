/** Messages between call engines of two VMs over sockets. */
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {type EvidenceReply} from '../../common/registry/types.ts';
import {type Logger} from '../logging/types.ts';
import {MemoryBudget} from '../memory/memory-budget.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {FeedServer} from './feed-server.ts';
import {UpdateClient} from './update-client.ts';

const reply: EvidenceReply = {
	updates: [{
		identity: 'i-1', report: undefined, ageMilliseconds: 5, suspects: ['call.1'], crash: 'i-1', isCrashCertain: true,
	}],
	missing: ['i-2 call.1'],
};

function ignore(): void {
	// These tests do not check the log.
}

const silentLogger: Logger = {
	trace: ignore, debug: ignore, info: ignore, warn: ignore, error: ignore, with: () => silentLogger, isEnabled: () => false,
};

describe('UpdateClient', () => {
	// Guards against evidence of crashes that does not reach the VM that lacks it, and against a VM that stops on an unreachable one.
	it('compares evidence of crashes with another VM', async () => {
		const owned = new DisposableStore();
		const events: FleetEvent[] = [];
		const received: Array<readonly string[]> = [];
		const server = owned.add(new FeedServer(noMetrics, {
			isServing: () => true,
			fullFrame: () => ({
				revision: 0, ageMilliseconds: 0, entries: [], deleted: [], isWhole: true,
			}),
			compareEvidence(known) {
				received.push(known);
				return reply;
			},
		}, {feed: ignore}, {accepts: () => false, forward: async () => undefined}, {budget: owned.add(new MemoryBudget(1_000_000))}));
		const listening = await server.listen(0, '127.0.0.1');
		const address = `127.0.0.1:${listening._unsafeUnwrap()}`;
		const client = owned.add(new UpdateClient({
			feed(event) {
				events.push(event);
			},
		}, silentLogger, noMetrics));
		client.compare('127.0.0.1:1', []);
		client.compare(address, ['i-3 call.1']);
		for (let tries = 0; tries < 200 && events.length === 0; tries++) {
			await delay(10);
		}

		expect(received).toEqual([['i-3 call.1']]);
		expect(events).toEqual([{type: 'evidence-compared', from: address, reply}]);
		owned.dispose();
	});
});
