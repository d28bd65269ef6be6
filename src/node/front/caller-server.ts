/** The callers' listener: calls to services, and the answer to which VMs to use. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {type CallRequest} from '../../common/calls/types.ts';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type Event} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {
	addressesPath, callPathPrefix, callerHeader, idempotencyKeyHeader, outcomeHeader, problemTypePrefix, retryHeader, timeoutHeader, traceHeader,
} from '../../common/protocol/headers.ts';
import {JaydaleDialect} from '../../common/protocol/jaydale-dialect.ts';
import {continueTrace} from '../logging/trace-context.ts';
import {type BackendConnections} from './backend-connections.ts';
import {type CallCarrier} from './call-carrier.ts';
import {type CutAnswer, GracefulServer} from './graceful-server.ts';
import {IncompleteCalls} from './incomplete-calls.ts';
import {LiveCall} from './live-call.ts';
import {type BodyLimits, RequestBody} from './request-body.ts';
import {type CallEventSink} from './types.ts';

/** An answer to "which VMs shall I use for this service". */
export type AddressAnswer = {
	readonly vms: ReadonlyArray<{readonly address: string; readonly port: number; readonly weight: number}>;
	readonly keepForMilliseconds: Milliseconds;
};

/** What the listener needs of the rest. */
export type CallerServerParts = {
	readonly sink: CallEventSink;
	readonly calls: CallCarrier;
	readonly connections: BackendConnections;
	readonly addresses: (service: string) => AddressAnswer | undefined;
	/** 64-bit digest of a call's method, path and body start. */
	readonly fingerprint: (method: string, path: string, body: Uint8Array) => string;
};

/** Limits of the listener; each keeps one caller from holding what others need. */
export type CallerServerLimits = BodyLimits & {
	/** Most open connections; one more is closed at once. */
	readonly connections: number;
	/** Largest head in bytes: a larger one is answered with 431. */
	readonly headBytes: number;
	/** Time for a whole head to come in: a caller that sends byte by byte holds a connection no longer. */
	readonly headMilliseconds: Milliseconds;
	/** A caller that takes no byte of its answer for this long is taken for gone. */
	readonly stallMilliseconds: Milliseconds;
	/** The same for an answer that is in whole; a minute unless said otherwise. */
	readonly handOverMilliseconds?: Milliseconds;
	/** How long an idle connection of a caller is kept. */
	readonly idleMilliseconds: Milliseconds;
};

/** When to come back after a stopping VM has sent a caller away: at once, to another one. */
const stoppingRetry: Milliseconds = 20;

const largestTimeout = 86_400_000;
const largestCallerName = 128;
const largestKey = 255;

function single(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

/** A whole number of milliseconds, or undefined; `false` if it is there and cannot be read. */
function parseTimeout(text: string | undefined): number | undefined | false {
	if (text === undefined) {
		return undefined;
	}

	const value = Number(text);
	return /^\d{1,8}$/v.test(text) && value > 0 && value <= largestTimeout ? value : false;
}

/** Serves callers on one port. */
export class CallerServer extends Disposable {
	private readonly _parts: CallerServerParts;
	private readonly _limits: CallerServerLimits;
	private readonly _dialect = new JaydaleDialect();
	private readonly _server: GracefulServer;
	private readonly _incomplete = new IncompleteCalls();
	private _lastCallId = 0;

	/** An answer's connection was closed before the system had all of the answer. */
	readonly onAnswerCut: Event<CutAnswer>;

	constructor(parts: CallerServerParts, limits: CallerServerLimits) {
		super();
		this._parts = parts;
		this._limits = limits;
		// The call path reads the body itself; the adaptor must not drain or cut it.
		const listener = getRequestListener(this._application().fetch, {autoCleanupIncoming: false, overrideGlobalObjects: false});
		this._server = this._register(new GracefulServer({
			maxHeaderSize: limits.headBytes,
			headersTimeout: limits.headMilliseconds,
			requestTimeout: 0,
			keepAliveTimeout: limits.idleMilliseconds,
			noDelay: true,
		}, (incoming, outgoing) => {
			void listener(incoming, outgoing);
		}));
		this._server.maxConnections = limits.connections;
		this.onAnswerCut = this._server.onCut;
	}

	/** Starts to listen; resolves with the port. */
	async listen(port: number, address: string): Promise<Result<number, Failure<'cannot-listen'>>> {
		return new Promise(resolve => {
			const onError = (error: Error) => {
				resolve(err(failure('cannot-listen', `${address}:${port} cannot be listened on: ${error.message}`, {field: 'callers.port'})));
			};

			this._server.once('error', onError);
			this._server.listen(port, address, () => {
				this._server.off('error', onError);
				const bound = this._server.address();
				resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : port));
			});
		});
	}

	/**
	 * Answers not wholly handed to the operating system yet. A call has ended once its last bytes came from
	 * the backend server; a slow caller may still have to take them.
	 */
	get unfinishedAnswers(): number {
		return this._server.unfinishedAnswers;
	}

	/** Number of open connections of callers. */
	async countConnections(): Promise<number> {
		return new Promise(resolve => {
			this._server.getConnections((_error, count) => {
				resolve(count);
			});
		});
	}

	/** From now on idle connections end, and others after their current answer. Nothing is cut. */
	closeIdle(): void {
		this._server.leave();
		this._server.closeIdleConnections();
	}

	/**
	 * Takes no new connections; those open go on until their answers are out, however long that takes. Calls whose bodies are
	 * not whole are refused.
	 */
	stopListening(): void {
		this._incomplete.refuseAll();
		this.closeIdle();
		this._server.close();
	}

	private _application(): Hono<{Bindings: HttpBindings}> {
		const application = new Hono<{Bindings: HttpBindings}>();
		application.get(addressesPath, context => {
			const service = context.req.query('service') ?? '';
			const answer = this._parts.addresses(service);
			return answer === undefined
				? context.json({
					type: `${problemTypePrefix}unknown-service`, title: 'unknown service', status: 404, service,
				}, 404, {'content-type': 'application/problem+json'})
				: context.json(answer);
		});
		application.all(`${callPathPrefix}:service/*`, context => {
			this._accept(context.env.incoming, context.env.outgoing);
			return RESPONSE_ALREADY_SENT;
		});
		return application;
	}

	private _accept(incoming: IncomingMessage, outgoing: ServerResponse): void {
		const url = incoming.url!;
		const slash = url.indexOf('/', callPathPrefix.length);
		const service = url.slice(callPathPrefix.length, slash);
		const path = url.slice(slash);
		const timeoutMilliseconds = parseTimeout(single(incoming.headers[timeoutHeader]));
		if (timeoutMilliseconds === false) {
			this._refuseField(outgoing, 400, timeoutHeader);
			return;
		}

		const key = single(incoming.headers[idempotencyKeyHeader]);
		if (key !== undefined && (key.length === 0 || key.length > largestKey)) {
			this._refuseField(outgoing, 400, idempotencyKeyHeader);
			return;
		}

		const body = new RequestBody(incoming, this._limits);
		if (body.isTooLarge) {
			outgoing.setHeader('connection', 'close');
			this._refuseField(outgoing, 413, 'content-length');
			return;
		}

		if (body.isExpected) {
			this._incomplete.add(outgoing, () => {
				incoming.resume();
				const {headers, body: text} = this._dialect.refusal({
					status: 503, reason: 'stopping', outcome: 'not-run', retryAfterMilliseconds: stoppingRetry,
				});
				outgoing.writeHead(503, {...headers, 'content-length': Buffer.byteLength(text)});
				outgoing.end(text);
			});
		}

		body.read(() => {
			this._incomplete.remove(outgoing);
			if (outgoing.writableEnded) {
				body.discard();
				return;
			}

			this._lastCallId += 1;
			const request: CallRequest = {
				callId: this._lastCallId,
				service,
				caller: single(incoming.headers[callerHeader])?.slice(0, largestCallerName) ?? incoming.socket.remoteAddress ?? '',
				method: incoming.method!,
				path,
				fingerprint: this._parts.fingerprint(incoming.method!, url, body.kept),
				timeoutMilliseconds,
				bodyBytes: body.isReplayable ? body.kept.length : undefined,
				idempotencyKey: key,
				mayRetry: incoming.headers[retryHeader] !== 'none',
			};
			const {traceId, traceparent} = continueTrace(single(incoming.headers[traceHeader]));
			const {stallMilliseconds, handOverMilliseconds} = this._limits;
			const call = new LiveCall(request, {
				incoming, outgoing, path, body, traceId, traceparent, dialect: this._dialect, stallMilliseconds, handOverMilliseconds,
			}, this._parts.sink, this._parts.connections);
			this._parts.calls.admit(call, {type: 'call-arrived', request});
		});
	}

	/** Bad input from a caller: the field is named, and nothing ran. */
	private _refuseField(outgoing: ServerResponse, status: number, field: string): void {
		const body = JSON.stringify({
			type: `${problemTypePrefix}invalid-field`, title: 'invalid field', status, field, outcome: 'not-run',
		});
		outgoing.writeHead(status, {'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body), [outcomeHeader]: 'not-run'});
		outgoing.end(body);
	}
}
