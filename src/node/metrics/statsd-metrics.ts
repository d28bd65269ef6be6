/** Metrics over StatsD (UDP). */
import {StatsD, type ClientOptions} from 'hot-shots';
import {type CallSummary, type PoisonRequestChange} from '../../common/calls/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {askOutcomes} from '../../common/limits/ask-outcomes.ts';
import {type LinkState} from '../../common/links/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type Settings} from '../../common/settings/settings.ts';
import {type HeldKind} from '../memory/held-memory.ts';
import {type MetricNameOf, type TagsOf} from './catalogue.ts';
import {OrganisationTally} from './organisation-tally.ts';
import {
	heldKindName, keyRefusalReason, type Metrics, type RoomReason, type VmGauges,
} from './types.ts';

/** Maximum size of a datagram; fits an Ethernet frame with room for the headers of tunnels. */
const datagramBytes = 1400;
const flushMilliseconds = 1000;

/**
 * One call in this many has its durations sent. Counters are aggregated before they are sent, durations cannot be: at 10,000
 * calls a second, sending all would take 20,000 lines a second. One in ten still gives 60,000 values a minute, enough for
 * the 99.9th percentile.
 */
const callsPerTiming = 10;

/** Number of ended calls with the same tags since the last flush. */
type CallTally = {readonly tags: TagsOf<'calls.ended'>; calls: number};

/** Sends metrics to a StatsD server. If the server is down, metrics are lost without any other effect. */
export class StatsdMetrics extends Disposable implements Metrics {
	private readonly _client: StatsD;
	/** Aggregated here, because the StatsD client takes 3 µs for each increment with tags. */
	private readonly _tallies = new Map<string, CallTally>();
	private readonly _organisationTally = new OrganisationTally();
	private _calls = 0;

	/**
	 * @param onError called with the error message when a datagram could not be sent
	 * @param overrides client options for tests
	 */
	constructor(settings: Settings, onError: (message: string) => void, overrides: ClientOptions = {}) {
		super();
		this._client = new StatsD({
			host: settings.metrics.host,
			port: settings.metrics.port,
			prefix: settings.metrics.prefix,
			globalTags: {vm: settings.vm.name, data_centre: settings.vm.dataCentre},
			maxBufferSize: datagramBytes,
			bufferFlushInterval: flushMilliseconds,
			aggregation: {flushInterval: flushMilliseconds},
			includeDataDogTags: false,
			errorHandler(error) {
				onError(error.message);
			},
			...overrides,
		});
		const timer = setInterval(() => {
			this._flushCalls();
		}, overrides.bufferFlushInterval ?? flushMilliseconds);
		timer.unref();
		this._register(toDisposable(() => {
			clearInterval(timer);
			this._flushCalls();
			this._client.close(() => undefined);
		}));
	}

	callEnded(summary: CallSummary): void {
		const {service} = summary;
		this._tallyOf(summary).calls += 1;
		this._calls += 1;
		if (this._calls % callsPerTiming === 0) {
			this._time('calls.milliseconds', summary.milliseconds, {service});
			this._time('calls.queued_milliseconds', summary.queuedMilliseconds, {service});
		}

		if ((summary.grounds?.rateLimited ?? 0) > 0) {
			this._count('rate_limits.withheld', 1, {service});
		}

		for (const [outcome, asks] of askOutcomes(summary.limit)) {
			this._count('organisation_limits.asks', asks, {outcome});
		}

		if (summary.attempts > 1) {
			this._count('calls.further_attempts', summary.attempts - 1, {service});
		}
	}

	organisationCallEnded(organisation: string, isGood: boolean): void {
		const now = performance.now();
		this._organisationTally.record(organisation, isGood, now);
		this._count('organisations.calls', 1, {organisation: this._organisationTally.seriesOf(organisation, now), good: String(isGood)});
	}

	keyRefused(isKeySent: boolean): void {
		this._count('organisations.refused_keys', 1, {reason: keyRefusalReason(isKeySent)});
	}

	answerCut(closedBy: 'caller' | 'here'): void {
		this._count('answers.cut', 1, {closed_by: closedBy});
	}

	connectionClosedForRoom(listener: string, reason: RoomReason): void {
		this._count('connections.closed_for_room', 1, {listener, reason});
	}

	evacuations(dataCentres: number): void {
		this._gauge('evacuations.in_force', dataCentres);
	}

	storeEra(era: number, isRestored: boolean): void {
		this._gauge('store.era', era);
		if (isRestored) {
			this._count('store.restored', 1, {});
		}
	}

	rateLimits(limitedServers: number): void {
		this._gauge('rate_limits.in_force', limitedServers);
	}

	rateLimitUnreadable(service: string): void {
		this._count('rate_limits.unreadable', 1, {service});
	}

	poisonRequests(change: PoisonRequestChange['kind'], quarantined: number): void {
		this._count('poison_requests.changes', 1, {change});
		this._gauge('poison_requests.quarantined', quarantined);
	}

	linkChanged(state: LinkState, lostLinks: number): void {
		this._count('links.changes', 1, {state});
		this._gauge('links.lost', lostLinks);
	}

	attemptStarted(path: 'direct' | 'relayed'): void {
		this._count('links.attempts', 1, {path});
	}

	tunnelRequested(result: string): void {
		this._count('links.tunnels', 1, {result});
	}

	limitDatagram(result: 'sent' | 'received' | 'failed' | 'malformed'): void {
		this._count('organisation_limits.datagrams', 1, {result});
	}

	limitRights(heldSlots: number, age: Milliseconds): void {
		this._gauge('organisation_limits.held_slots', heldSlots);
		this._gauge('organisation_limits.right_age_milliseconds', age);
	}

	unexpectedError(): void {
		this._count('vm.unexpected_errors', 1, {});
	}

	memoryRefused(kind: HeldKind): void {
		this._count('memory.refusals', 1, {kind: heldKindName[kind]});
	}

	configurationRejected(route: string | undefined): void {
		this._count('configurations.rejected', 1, {route: route ?? 'none'});
	}

	loadProbeSent(service: string): void {
		this._count('measuring.calls', 1, {service});
	}

	platformCalled(operation: string, reply: string, milliseconds: Milliseconds): void {
		this._count('platform.calls', 1, {operation, reply});
		this._time('platform.milliseconds', milliseconds, {operation});
	}

	peerTraffic(direction: 'in' | 'out', messages: number, bytes: number): void {
		this._count('peers.messages', messages, {direction});
		this._count('peers.bytes', bytes, {direction});
	}

	operatorAnswered(method: string, status: number): void {
		this._count('operators.requests', 1, {method, status: String(status)});
	}

	gauges(values: VmGauges): void {
		this._gauge('calls.in_flight', values.callsInFlight);
		this._gauge('calls.queued', values.callsQueued);
		this._gauge('connections.callers', values.connections);
		this._gauge('configuration.version', values.configurationVersion);
		this._gauge('vm.utilisation', values.utilisation);
		this._gauge('measuring.part', values.measuringPart);
	}

	private _tallyOf(summary: CallSummary): CallTally {
		const {service, outcome, isGood} = summary;
		const reason = summary.reason ?? 'none';
		const key = `${service}/${outcome}/${reason}/${isGood}`;
		const known = this._tallies.get(key);
		if (known !== undefined) {
			return known;
		}

		const tally: CallTally = {
			tags: {
				service, outcome, reason, good: String(isGood),
			},
			calls: 0,
		};
		this._tallies.set(key, tally);
		return tally;
	}

	private _flushCalls(): void {
		for (const {tags, calls} of this._tallies.values()) {
			this._count('calls.ended', calls, tags);
		}

		this._tallies.clear();
	}

	private _count<Name extends MetricNameOf<'counter'>>(name: Name, value: number, tags: TagsOf<Name>): void {
		this._client.increment(name, value, {...tags});
	}

	private _time<Name extends MetricNameOf<'timing'>>(name: Name, value: number, tags: TagsOf<Name>): void {
		this._client.timing(name, value, {...tags});
	}

	private _gauge<Name extends MetricNameOf<'gauge'>>(name: Name, value: number): void {
		this._client.gauge(name, value);
	}
}
