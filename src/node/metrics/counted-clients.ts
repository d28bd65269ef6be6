/** Wrappers of clients that count their requests in the metrics. */
import {type CallEffect} from '../../common/calls/types.ts';
import {type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type Clock} from '../clock.ts';
import {type PlatformClient} from '../fleet/types.ts';
import {type LoadProbeClient} from '../front/call-effect-executor.ts';
import {type CallEventSink} from '../front/types.ts';
import {type Metrics} from './types.ts';

/** Counts requests to the platform's service by operation and reply, and records their duration. */
export class CountedPlatformClient implements PlatformClient {
	private readonly _client: PlatformClient;
	private readonly _clock: Clock;
	private readonly _metrics: Metrics;

	constructor(client: PlatformClient, clock: Clock, metrics: Metrics) {
		this._client = client;
		this._clock = clock;
		this._metrics = metrics;
	}

	async execute(operation: StoreOperation): Promise<StoreReply> {
		const startedAt = this._clock.now();
		const reply = await this._client.execute(operation);
		this._metrics.platformCalled(operation.type, reply.type, this._clock.now() - startedAt);
		return reply;
	}

	async listVms(): ReturnType<PlatformClient['listVms']> {
		const startedAt = this._clock.now();
		const vms = await this._client.listVms();
		this._metrics.platformCalled('list-vms', vms === undefined ? 'unavailable' : 'entries', this._clock.now() - startedAt);
		return vms;
	}
}

/** Counts load probes by service. */
export class CountedLoadProbeClient implements LoadProbeClient {
	private readonly _client: LoadProbeClient;
	private readonly _metrics: Metrics;

	constructor(client: LoadProbeClient, metrics: Metrics) {
		this._client = client;
		this._metrics = metrics;
	}

	probe(effect: CallEffect & {type: 'measure'}, sink: CallEventSink): void {
		this._metrics.loadProbeSent(effect.service);
		this._client.probe(effect, sink);
	}

	check(effect: CallEffect & {type: 'check-link'}, sink: CallEventSink): void {
		this._metrics.loadProbeSent(effect.check.service);
		this._client.check(effect, sink);
	}
}
