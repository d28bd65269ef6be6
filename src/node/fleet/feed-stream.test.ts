/** The stream between two VMs over sockets, which carries the registry feed in one direction and announcements in the other. */
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {type FeedFrame} from '../../common/registry/types.ts';
import {MemoryBudget} from '../memory/memory-budget.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {type Logger} from '../logging/types.ts';
import {FeedClient} from './feed-client.ts';
import {feedPath} from './feed-frame.ts';
import {FeedServer} from './feed-server.ts';

const noEvidence = {updates: [], missing: []};

const frame: FeedFrame = {
	revision: 7, ageMilliseconds: 0, entries: [{
		key: 'servers/a', value: 'x', revision: 5, createdAt: 3,
	}], deleted: [], isWhole: true,
};

const announcement = {identity: 'vm-1', value: '{"callers":"10.0.0.1:80"}', intent: 'stay'} as const;

function ignore(): void {
	// These tests do not check the log.
}

const silentLogger: Logger = {
	trace: ignore, debug: ignore, info: ignore, warn: ignore, error: ignore, with: () => silentLogger, isEnabled: () => false,
};

const noTunnels = {accepts: () => false, forward: async () => undefined};

/** A feed server on its own port, a subscriber, and the events that each of them emits. */
class Streams {
	readonly owned = new DisposableStore();
	readonly serverEvents: FleetEvent[] = [];
	readonly clientEvents: FleetEvent[] = [];
	readonly server = this.owned.add(new FeedServer(noMetrics, {isServing: identity => identity === 'here', fullFrame: () => frame, compareEvidence: () => noEvidence}, {
		feed: event => {
			this.serverEvents.push(event);
		},
	}, noTunnels, {budget: this.owned.add(new MemoryBudget(1_000_000))}));

	readonly client = this.owned.add(new FeedClient({
		feed: event => {
			this.clientEvents.push(event);
		},
	}, silentLogger));

	async start(): Promise<string> {
		const port = await this.server.listen(0, '127.0.0.1');
		return `127.0.0.1:${port._unsafeUnwrap()}`;
	}
}

async function until(condition: () => boolean): Promise<void> {
	for (let tries = 0; tries < 200 && !condition(); tries++) {
		await delay(10);
	}
}

describe('the stream between two VMs', () => {
	let streams: Streams;

	beforeEach(() => {
		streams = new Streams();
	});

	afterEach(() => {
		streams.owned.dispose();
	});

	it('carries the registry feed and announcements in opposite directions on one connection', async () => {
		const address = await streams.start();
		streams.client.subscribe(address);
		streams.client.announce(announcement);
		await until(() => streams.serverEvents.length > 0 && streams.clientEvents.length > 0);
		streams.server.publish({...frame, revision: 8, isWhole: false});
		streams.client.announce({...announcement, intent: 'leave'});
		await until(() => streams.serverEvents.length > 1 && streams.clientEvents.length > 1);
		expect([streams.clientEvents, streams.serverEvents]).toEqual([
			[{type: 'feed-frame', source: address, frame}, {type: 'feed-frame', source: address, frame: {...frame, revision: 8, isWhole: false}}],
			[{type: 'member-announced', announcement}, {type: 'member-announced', announcement: {...announcement, intent: 'leave'}}],
		]);
	});

	// Fails if callers still receive the address of a killed VM because the VM that registers it does not detect the end.
	it('reports the end of a subscriber to the VM that serves the feed', async () => {
		streams.client.subscribe(await streams.start());
		streams.client.announce(announcement);
		await until(() => streams.serverEvents.length > 0);
		streams.client.subscribe(undefined);
		await until(() => streams.serverEvents.length > 1);
		expect(streams.serverEvents.at(-1)).toEqual({type: 'member-ended', identity: 'vm-1'});
	});

	it('reports the end of the serving VM to the subscriber', async () => {
		const address = await streams.start();
		streams.client.subscribe(address);
		await until(() => streams.clientEvents.length > 0);
		streams.server.dispose();
		await until(() => streams.clientEvents.length > 1);
		expect(streams.clientEvents.at(-1)).toEqual({type: 'feed-closed', source: address});
	});

	it('closes a stream that carries an invalid announcement', async () => {
		const address = await streams.start();
		const answer = await fetch(`http://${address}${feedPath}`, {method: 'POST', body: 'no announcement\n'}).then(async response => response.text()).catch(() => 'ended');
		expect([answer, streams.serverEvents]).toEqual(['ended', []]);
	});
});
