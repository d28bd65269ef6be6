/** Load probes: requests to the load endpoints of backend servers. The call engine limits them by the measuring budget. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {type CallEffect, type LoadReport} from '../../common/calls/types.ts';
import {type LinkCheckResult} from '../../common/links/types.ts';
import {type Dialect} from '../../common/protocol/dialect.ts';
import {NoRelayError} from '../fleet/tunnel-client.ts';
import {maxInformationalAnswers, minFinalStatus} from './backend-attempt.ts';
import {type BackendConnections} from './backend-connections.ts';
import {type LoadProbeClient} from './call-effect-executor.ts';
import {type CallEventSink} from './types.ts';

type ProbeEffect = CallEffect & {type: 'measure'};

/** A load report is a single line; a longer body is not treated as one. */
const maxLoadBodyBytes = 4096;

/** A longer body is read to its end up to this size, so that the connection can be reused. */
const maxDiscardedBodyBytes = 65_536;

/**
 * Time after the timeout of a load probe for which its answer is still read. A VM with a fifth of a core or a busy backend
 * server is often late by some hundred milliseconds, and closing the connection costs a new one for the next probe.
 */
const lateAnswerMilliseconds = 2000;

/** Reason passed to undici if a load probe times out. */
class LoadProbeTimeout extends Error {
	override readonly name = 'LoadProbeTimeout';
}

/** Reason passed to undici to close the connection of a load probe: another answer could follow on it, or its answer has no end. */
class ConnectionEnded extends Error {
	override readonly name = 'ConnectionEnded';
}

/** One load probe. A plain undici dispatch handler, without streams or an abort signal, to keep latency low: calls wait for the result. */
class LoadProbe implements Dispatcher.DispatchHandler {
	private readonly _parse: (status: number, headers: IncomingHttpHeaders, body: string) => LoadReport | undefined;
	private readonly _endsConnection: (status: number, headers: IncomingHttpHeaders) => boolean;
	private readonly _onDone: (report: LoadReport | undefined, isRefused: boolean) => void;
	private _timer: NodeJS.Timeout;
	private readonly _chunks: Uint8Array[] = [];
	private _controller: Dispatcher.DispatchController | undefined;
	private _status = 0;
	private _headers: IncomingHttpHeaders = {};
	private _receivedBytes = 0;
	private _informationalCount = 0;
	private _isDone = false;
	private _isOver = false;

	constructor(timeoutMilliseconds: number, {parse, endsConnection}: {readonly parse: LoadProbe['_parse']; readonly endsConnection: LoadProbe['_endsConnection']}, onDone: LoadProbe['_onDone']) {
		this._parse = parse;
		this._endsConnection = endsConnection;
		this._onDone = onDone;
		this._timer = setTimeout(() => {
			// An answer that arrived while this process was paused or busy is handled first.
			setImmediate(() => {
				this._onTimeout();
			});
		}, timeoutMilliseconds);
	}

	/** Whether its result was reported. */
	get isDone(): boolean {
		return this._isDone;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this._controller = controller;
		if (this._isOver) {
			controller.abort(new LoadProbeTimeout());
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		if (status < minFinalStatus) {
			this._informationalCount += 1;
			if (this._informationalCount > maxInformationalAnswers) {
				controller.abort(new ConnectionEnded());
			}

			return;
		}

		this._status = status;
		this._headers = headers;
		if (this._endsConnection(status, headers)) {
			controller.abort(new ConnectionEnded());
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this._receivedBytes += chunk.length;
		if (this._receivedBytes <= maxLoadBodyBytes) {
			this._chunks.push(chunk);
		} else if (this._receivedBytes > maxDiscardedBodyBytes) {
			controller.abort(new ConnectionEnded());
		}
	}

	onResponseEnd(): void {
		this._finish(this._parseReport());
		this._end();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		// Refused, reset or timed out: the engine receives no report and counts the failed probe.
		this._finish(undefined, 'code' in error && error.code === 'ECONNREFUSED');
		this._end();
	}

	private _onTimeout(): void {
		if (this._isOver) {
			return;
		}

		this._finish(undefined);
		this._timer = setTimeout(() => {
			this._end();
			this._controller?.abort(new LoadProbeTimeout());
		}, lateAnswerMilliseconds);
		this._timer.unref();
	}

	/** The request has ended, or its answer is not read any more. */
	private _end(): void {
		this._isOver = true;
		clearTimeout(this._timer);
	}

	private _parseReport(): LoadReport | undefined {
		if (this._isDone || this._receivedBytes > maxLoadBodyBytes) {
			return undefined;
		}

		try {
			return this._parse(this._status, this._headers, Buffer.concat(this._chunks).toString());
		} catch {
			// A malformed load report: the engine treats it as a missing one.
			return undefined;
		}
	}

	private _finish(report: LoadReport | undefined, isRefused = false): void {
		if (!this._isDone) {
			this._isDone = true;
			this._onDone(report, isRefused);
		}
	}
}

/** One check of a path: any response on a new connection shows that the path works. */
class LinkCheckHandler implements Dispatcher.DispatchHandler {
	private readonly _onDone: (result: LinkCheckResult, hint?: string) => void;

	constructor(onDone: LinkCheckHandler['_onDone']) {
		this._onDone = onDone;
	}

	onRequestStart(): void {
		// A connection alone does not show that the backend server responds.
	}

	onResponseStart(): void {
		this._onDone('answered');
	}

	onResponseData(): void {
		// Only the head matters.
	}

	onResponseEnd(): void {
		// The result was reported with the head.
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (error instanceof NoRelayError) {
			this._onDone('no-relay', error.hint);
		} else {
			this._onDone('code' in error && error.code === 'ECONNREFUSED' ? 'refused' : 'failed');
		}
	}
}

/** Sends load probes on connections that carry no calls. */
export class HttpLoadProbeClient implements LoadProbeClient {
	private readonly _connections: BackendConnections;
	private readonly _dialect: Dialect;

	constructor(connections: BackendConnections, dialect: Dialect) {
		this._connections = connections;
		this._dialect = dialect;
	}

	probe(effect: ProbeEffect, sink: CallEventSink): void {
		const {loadProbeId, identity, path, timeoutMilliseconds} = effect;
		const loadProbe = new LoadProbe(Math.ceil(timeoutMilliseconds), {
			parse: (status, headers, body) => this._dialect.parseLoadProbe(identity, status, headers, body),
			endsConnection: (status, headers) => this._dialect.endsProbeConnection(identity, status, headers),
		}, (report, isRefused) => {
			sink.feed({
				type: 'measured', loadProbeId, report, isRefused,
			});
		});
		this._connections.dispatch(effect, 'load-probes', {
			options: {
				method: 'GET', path, headers: [], idempotent: false,
			},
			handler: loadProbe,
			isNeeded: () => !loadProbe.isDone,
		});
	}

	check({check}: CallEffect & {type: 'check-link'}, sink: CallEventSink): void {
		const client = this._connections.createCheckClient(check);
		let isDone = false;
		const onDone = (result: LinkCheckResult, hint?: string) => {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				void client.destroy();
				sink.feed({
					type: 'link-checked', checkId: check.checkId, result, hint,
				});
			}
		};

		const timer = setTimeout(() => {
			// Responses that arrived while this process was paused are handled first.
			setImmediate(() => {
				onDone('failed');
			});
		}, check.timeoutMilliseconds);
		client.dispatch({
			method: 'GET', path: check.path, headers: [], idempotent: false,
		}, new LinkCheckHandler(onDone));
	}
}
