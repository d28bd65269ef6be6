/** The callers' listener where calls are told apart by host and path, and go to services as routes say. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Result} from 'neverthrow';
import {type CallRequest, type RefusalReason} from '../../common/calls/types.ts';
import {type Failure} from '../../common/errors/failure.ts';
import {type FleetStage} from '../../common/fleet/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type RoutedDialect} from '../../common/protocol/dialect.ts';
import {type RoutedCall, type RouteTable} from '../../common/routing/route-table.ts';
import {type CallerLimits, type Routing} from '../../common/routing/types.ts';
import {type EarlyListener} from '../early-listener.ts';
import {listenOn} from '../listening.ts';
import {type BackendConnections} from './backend-connections.ts';
import {type CallCarrier} from './call-carrier.ts';
import {closeListener} from './close-listener.ts';
import {type CutAnswer, GracefulServer} from './graceful-server.ts';
import {IncompleteCalls} from './incomplete-calls.ts';
import {LiveCall} from './live-call.ts';
import {RequestBody} from './request-body.ts';
import {type StartingHold} from './starting-hold.ts';
import {type CallEventSink} from './types.ts';

/** What the listener needs of the rest. */
export type RoutedServerParts = {
	readonly sink: CallEventSink;
	readonly calls: CallCarrier;
	readonly connections: BackendConnections;
	readonly dialect: RoutedDialect;
	readonly routes: RouteTable;
	/** 64-bit digest of a call's method, path and body start. */
	readonly fingerprint: (method: string, path: string, body: Uint8Array) => string;
	/** Keeps callers that come before the first routes. */
	readonly hold: StartingHold;
};

/** Limits that the operators' routes do not set. */
export type RoutedServerLimits = {
	/** Bodies up to this size are read whole before the call is placed, and can be sent again. */
	readonly keptBodyBytes: number;
	/** Most open connections; one more is closed at once. */
	readonly connections: number;
	/** A caller that takes no byte of its answer for this long is taken for gone. */
	readonly stallMilliseconds: Milliseconds;
};

/** In force until the operators' own are known. */
const firstLimits: CallerLimits = {
	headBytes: 16_384, bodyBytes: 67_108_864, headMilliseconds: 5000, idleMilliseconds: 15_000,
};

/** When to come back to a VM that has no configuration yet: it reads one within a moment, others have it now. */
const notReadyRetry: Milliseconds = 200;

/** When to come back after a stopping VM has sent a caller away: at once, to another one. */
const stoppingRetry: Milliseconds = 20;

/** New connections that may wait for this thread: a full queue costs a caller a second, a rush brings hundreds. */
const listenBacklog = 1024;

/** Longest that the end of the process waits for the last refusals: less than a half of what a bounded stop leaves for its last steps. */
const longestEnd: Milliseconds = 100;

/** An answer that was cut, as a reader of logs wants it. */
export type CutCall = Omit<CutAnswer, 'incoming'> & {readonly traceId: string; readonly stage: FleetStage};

/** Where an answer is made without a call. */
type Early = {readonly status: number; readonly reason: RefusalReason; readonly retryAfterMilliseconds?: Milliseconds};

/** From then on a call could not end before the process does. */
const stagesWithoutCalls = new Set<FleetStage>(['draining', 'refusing', 'ended']);

/** What a call gets that comes too late to end before the process does. */
const stoppingAnswer: Early = {status: 503, reason: 'stopping', retryAfterMilliseconds: stoppingRetry};

/** Serves callers on one port. */
export class RoutedServer extends Disposable {
	private readonly _parts: RoutedServerParts;
	private readonly _limits: RoutedServerLimits;
	private readonly _server: GracefulServer;
	private readonly _onAnswerCut = this._register(new Emitter<CutCall>());
	private readonly _onTurnedAway = this._register(new Emitter<void>());
	private _callerLimits = firstLimits;
	private _stage: FleetStage = 'starting';
	private _hasRoutes = false;
	private readonly _incomplete = new IncompleteCalls();
	private _lastCallId = 0;

	/** An answer's connection was closed before the system had all of the answer. */
	readonly onAnswerCut = this._onAnswerCut.event;

	/** A call was refused because the VM stops. */
	readonly onTurnedAway = this._onTurnedAway.event;

	constructor(parts: RoutedServerParts, limits: RoutedServerLimits) {
		super();
		this._parts = parts;
		this._limits = limits;
		this._server = this._register(new GracefulServer({
			maxHeaderSize: firstLimits.headBytes,
			headersTimeout: firstLimits.headMilliseconds,
			requestTimeout: 0,
			keepAliveTimeout: firstLimits.idleMilliseconds,
			noDelay: true,
		}, (incoming, outgoing) => {
			this._take(incoming, outgoing);
		}));
		this._server.maxConnections = limits.connections;
		this._register(this._server.onCut(({incoming, ...cut}) => {
			this._onAnswerCut.fire({...cut, traceId: parts.dialect.readRequest(incoming.headers).traceId, stage: this._stage});
		}));
	}

	/** Answers that callers do not have yet, as far as this side can know. */
	get unfinishedAnswers(): number {
		return this._server.unfinishedAnswers;
	}

	/** Starts to listen; resolves with the port. */
	async listen(port: number, address: string, early?: EarlyListener): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, {backlog: listenBacklog, early});
	}

	/** Puts routes and limits in force for calls that come from now on. */
	configure({routes, limits}: Routing): void {
		this._parts.routes.replace(routes);
		this._callerLimits = limits;
		this._server.headersTimeout = limits.headMilliseconds;
		this._server.keepAliveTimeout = limits.idleMilliseconds;
		this._hasRoutes = true;
	}

	/**
	 * The VM's life goes on. From `leaving` on each connection ends after its answer; idle ones stay, since a call that
	 * crosses their end would be lost. From `draining` on no call is taken, new connections are not accepted, and what is
	 * idle ends.
	 */
	enter(stage: FleetStage): void {
		this._stage = stage;
		if (stage === 'leaving' || stage === 'draining') {
			this._server.leave();
		}

		if (stage === 'draining') {
			this._incomplete.refuseAll();
			this._server.stopListening();
		}
	}

	/** The process ends: resolves when the last refusals are out, or when the longest time for them is over. */
	async end(): Promise<void> {
		await closeListener(this._server, longestEnd);
		this._server.breakOff();
	}

	private _take(incoming: IncomingMessage, outgoing: ServerResponse): void {
		if (stagesWithoutCalls.has(this._stage)) {
			this._turnAway(incoming, outgoing);
			return;
		}

		this._parts.hold.pass(() => {
			if (!outgoing.destroyed) {
				this._route(incoming, outgoing);
			}
		});
	}

	private _route(incoming: IncomingMessage, outgoing: ServerResponse): void {
		if (!this._hasRoutes) {
			this._answerEarly(incoming, outgoing, {status: 503, reason: 'not-ready', retryAfterMilliseconds: notReadyRetry});
			return;
		}

		const routed = this._parts.routes.match(incoming.headers.host ?? '', incoming.url ?? '');
		if (routed === undefined) {
			this._answerEarly(incoming, outgoing, {status: 404, reason: 'unknown-service'});
			return;
		}

		this._read(incoming, outgoing, routed);
	}

	private _read(incoming: IncomingMessage, outgoing: ServerResponse, routed: RoutedCall): void {
		const body = new RequestBody(incoming, {bodyBytes: this._callerLimits.bodyBytes, keptBodyBytes: this._limits.keptBodyBytes});
		if (body.isTooLarge) {
			outgoing.setHeader('connection', 'close');
			this._answerEarly(incoming, outgoing, {status: 413, reason: 'unknown-service'});
			return;
		}

		const arrivedAt = performance.now();
		if (body.isExpected) {
			this._incomplete.add(outgoing, () => {
				this._turnAway(incoming, outgoing);
			});
		}

		body.read(() => {
			this._incomplete.remove(outgoing);
			if (outgoing.writableEnded) {
				body.discard();
			} else if (!outgoing.destroyed) {
				this._admit(incoming, outgoing, {routed, body, arrivedAt});
			}
		});
	}

	private _admit(incoming: IncomingMessage, outgoing: ServerResponse, {routed, body, arrivedAt}: {routed: RoutedCall; body: RequestBody; arrivedAt: number}): void {
		const {dialect, sink, connections, calls, fingerprint} = this._parts;
		this._lastCallId += 1;
		const method = incoming.method!;
		const path = incoming.url!;
		const {traceId, timeoutMilliseconds} = dialect.readRequest(incoming.headers);
		const read = performance.now() - arrivedAt;
		const request: CallRequest = {
			callId: this._lastCallId,
			service: routed.service,
			caller: incoming.socket.remoteAddress ?? '',
			method,
			path,
			fingerprint: fingerprint(method, path, body.kept),
			timeoutMilliseconds: timeoutMilliseconds === undefined ? undefined : Math.max(1, timeoutMilliseconds - read),
			bodyBytes: body.isReplayable ? body.kept.length : undefined,
			idempotencyKey: undefined,
			mayRetry: true,
			rule: routed.route.rule,
		};
		const call = new LiveCall(request, {
			incoming, outgoing, path, body, traceId, dialect, stallMilliseconds: this._limits.stallMilliseconds,
		}, sink, connections);
		calls.admit(call, {type: 'call-arrived', request});
	}

	private _turnAway(incoming: IncomingMessage, outgoing: ServerResponse): void {
		this._onTurnedAway.fire();
		this._answerEarly(incoming, outgoing, stoppingAnswer);
	}

	private _answerEarly(incoming: IncomingMessage, outgoing: ServerResponse, {status, reason, retryAfterMilliseconds}: Early): void {
		incoming.resume();
		const {headers, body} = this._parts.dialect.refusal({
			status, reason, outcome: 'not-run', retryAfterMilliseconds,
		});
		outgoing.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body)});
		outgoing.end(body);
	}
}
