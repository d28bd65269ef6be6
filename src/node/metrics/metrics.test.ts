import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {expect} from 'earl';
import {type PlacingGrounds} from '../../common/calls/types.ts';
import {settingsSchema, type Settings} from '../../common/settings/settings.ts';
import {metricCatalogue, type MetricDefinition} from './catalogue.ts';
import {StatsdMetrics} from './statsd-metrics.ts';

function settingsFor(port: number): Settings {
	return settingsSchema.parse({
		vm: {
			name: 'vm-1', dataCentre: 'gdansk-1', region: 'gdansk', address: '127.0.0.1',
		},
		callers: {port: 7001},
		operators: {port: 7002, tokensFile: 'tokens.toml'},
		peers: {port: 7003, plain: true},
		platform: {url: 'http://127.0.0.1:7000'},
		metrics: {enabled: true, host: '127.0.0.1', port},
	});
}

const limitedGrounds: PlacingGrounds = {
	choice: 'free', known: 2, evacuated: 0, warmingUp: 0, rateLimited: 1, able: 1, weighed: 1, withFreeSlot: 1, inTime: 1, inTimeNeeded: 0.8, atAll: 1,
	workMilliseconds: 10, isWorkLearnt: true, objectiveLeftMilliseconds: 300, timeLeftMilliseconds: 1000,
};

/** Returns the rows of the table on the metrics page. */
function documented(): string[] {
	const page = readFileSync('docs/operators/metrics.md', 'utf8');
	return page.split('\n').filter(line => line.startsWith('| `'));
}

function documentLine(name: string, {type, tags, describe}: MetricDefinition): string {
	return `| \`${name}\` | ${type} | ${tags.join(', ')} | ${describe} |`;
}

describe('metrics', () => {
	let socket: Socket;

	beforeEach(async () => {
		socket = createSocket('udp4');
		socket.bind(0, '127.0.0.1');
		await once(socket, 'listening');
	});

	afterEach(() => {
		socket.close();
	});

	it('sends exactly the metrics of the catalogue, with their tags', async function () {
		const metrics = new StatsdMetrics(settingsFor(socket.address().port), () => undefined, {bufferFlushInterval: 20, aggregation: {flushInterval: 20}});
		const lines = new Set<string>();
		const names = Object.keys(metricCatalogue);
		socket.on('message', datagram => {
			for (const line of datagram.toString().trim().split('\n')) {
				lines.add(line);
			}
		});
		const summary = {
			service: 'ordering', outcome: 'ran', reason: undefined, attempts: 2, milliseconds: 12, queuedMilliseconds: 3, isGood: true, grounds: limitedGrounds,
			limit: {
				waitedMilliseconds: 2, slot: 1, refusedBy: [0, 2], unansweredBy: [],
			},
		} as const;
		metrics.organisationCallEnded('one', true);
		metrics.keyRefused(true);
		metrics.answerCut('here');
		metrics.connectionClosedForRoom('callers', 'heads');
		metrics.evacuations(1);
		metrics.storeEra(2, true);
		metrics.rateLimits(2);
		metrics.rateLimitUnreadable('ordering');
		metrics.linkChanged('relayed', 3);
		metrics.attemptStarted('relayed');
		metrics.tunnelRequested('open');
		metrics.limitDatagram('malformed');
		metrics.limitRights(2, 400);
		metrics.unexpectedError();
		metrics.memoryRefused('bodies');
		metrics.poisonRequests('quarantined', 1);
		metrics.configurationRejected('reads');
		metrics.loadProbeSent('ordering');
		metrics.platformCalled('get', 'entry', 4);
		metrics.peerTraffic('out', 2, 600);
		metrics.operatorAnswered('GET', 200);
		metrics.gauges({
			callsInFlight: 1, callsQueued: 2, connections: 3, configurationVersion: 4, utilisation: 0.5, measuringPart: 0.25,
		});
		for (let call = 0; call < 10; call++) {
			metrics.callEnded(summary);
		}

		const sent = () => new Set([...lines].map(line => line.slice('jaydale.'.length, line.indexOf(':'))));
		while (sent().size < names.length) {
			await once(socket, 'message');
		}

		metrics.dispose();
		expect([...lines].toSorted()).toMatchSnapshot(this);
		expect([...sent()].toSorted()).toEqual(names.toSorted());
	});

	// Fails if the counts of the last second are lost at the end of the process.
	it('sends pending counts when it is disposed', async () => {
		const metrics = new StatsdMetrics(settingsFor(socket.address().port), () => undefined, {bufferFlushInterval: 60_000, aggregation: {flushInterval: 60_000}});
		metrics.callEnded({
			service: 'ordering', outcome: 'ran', reason: undefined, attempts: 1, milliseconds: 12, queuedMilliseconds: 3, isGood: true,
		});
		metrics.operatorAnswered('GET', 200);
		const received = new Promise<string>(resolve => {
			socket.once('message', datagram => {
				resolve(datagram.toString());
			});
		});
		metrics.dispose();
		const text = await received;
		const names = text.trim().split('\n').map(line => line.slice(0, line.indexOf(':')));
		expect(names.toSorted()).toEqual(['jaydale.calls.ended', 'jaydale.operators.requests']);
	});

	// Fails if an unreachable metrics server disturbs the process.
	it('ignores an unreachable server', async () => {
		const {port} = socket.address();
		socket.close();
		const metrics = new StatsdMetrics(settingsFor(port), () => undefined, {bufferFlushInterval: 1, aggregation: {flushInterval: 1}});
		metrics.operatorAnswered('GET', 200);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		metrics.dispose();
		socket = createSocket('udp4');
	});

	it('matches the table on the operators\' page', () => {
		expect(documented()).toEqual(Object.entries(metricCatalogue).map(([name, definition]) => documentLine(name, definition)));
	});
});
