/** The callers' listener that selects the service of a call by host and path, according to the configured routes. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Result} from 'neverthrow';
import {type CallRequest, type RefusalReason} from '../../common/calls/types.ts';
import {type Failure} from '../../common/errors/failure.ts';
import {type FleetStage} from '../../common/fleet/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type DeclaredOrganisations, type OrganisationDirectory} from '../../common/organisations/organisation-directory.ts';
import {type RoutedDialect} from '../../common/protocol/dialect.ts';
import {hasDotSegment, type RoutedCall, type RouteTable} from '../../common/routing/route-table.ts';
import {type CallerLimits, type Routing} from '../../common/routing/types.ts';
import {type ListenOptions, listenOn} from '../listening.ts';
import {type HeldMemory} from '../memory/held-memory.ts';
import {type BackendConnections} from './backend-connections.ts';
import {type CallEffectExecutor} from './call-effect-executor.ts';
import {closeListener} from './close-listener.ts';
import {type ConnectionBudget} from './connection-budget.ts';
import {discardBody} from './discard-body.ts';
import {type CutAnswer, GracefulServer} from './graceful-server.ts';
import {IncompleteCalls} from './incomplete-calls.ts';
import {LiveCall} from './live-call.ts';
import {noRoomRetryMilliseconds, RequestBody} from './request-body.ts';
import {type ReadinessGate} from './readiness-gate.ts';
import {
	type CallEventSink, type FingerprintFunction, type KeyAdmission, type KeyRefusal,
} from './types.ts';
import {UnpausedAnswers} from './unpaused-answers.ts';

/** Dependencies of the listener. */
export type RoutedServerDependencies = {
	readonly sink: CallEventSink;
	readonly calls: CallEffectExecutor;
	readonly connections: BackendConnections;
	readonly dialect: RoutedDialect;
	readonly routes: RouteTable;
	readonly organisations: OrganisationDirectory;
	/** Returns a 64-bit digest of a call's method, path and buffered start of the body. */
	readonly fingerprint: FingerprintFunction;
	/** Delays calls that arrive before the first routes are configured. */
	readonly readinessGate: ReadinessGate;
	/** Bounds the memory of buffered bodies and answers. */
	readonly heldMemory: HeldMemory;
	readonly connectionBudget: ConnectionBudget;
};

/** Limits that are not part of the operators' routing configuration. */
export type RoutedServerLimits = {
	/** Bodies of up to this size are read completely before the call is placed, and can be sent again. */
	readonly keptBodyBytes: number;
	/** Maximum number of open connections; beyond it, idle ones are closed. */
	readonly connections: number;
	/** Time without progress on a blocked write after which a caller's connection is closed. */
	readonly stallMilliseconds: Milliseconds;
};

/** Limits that apply until the operators' configuration is loaded. */
const initialCallerLimits: CallerLimits = {
	headBytes: 16_384, bodyBytes: 67_108_864, headMilliseconds: 5000, idleMilliseconds: 15_000,
};

/** Retry delay for callers of a VM without a configuration: it loads one shortly, and other VMs have one already. */
const notReadyRetryMilliseconds: Milliseconds = 200;

/** Retry delay for callers that a stopping VM has refused: almost immediate, since they retry on another VM. */
const stoppingRetryMilliseconds: Milliseconds = 20;

/** Connections that may wait to be accepted. A full backlog costs a caller one second, and bursts bring hundreds of connections. */
const listenBacklog = 1024;

/** Maximum wait of the process for the last refusals to be sent: less than half of the time that a bounded stop reserves for its last steps. */
const maxCloseMilliseconds: Milliseconds = 100;

/** An answer that was cut, with the fields that its log line needs. */
export type CutAnswerReport = Omit<CutAnswer, 'incoming'> & {readonly traceId: string; readonly stage: FleetStage};

/** A refusal that is sent before a call reaches the call engine. */
type EarlyAnswer = {readonly status: number; readonly reason: RefusalReason; readonly retryAfterMilliseconds?: Milliseconds};

/** Stages in which a new call could not complete before the process exits. */
const refusingStages = new Set<FleetStage>(['draining', 'refusing', 'ended']);

/** Answer to a call that arrives too late to complete before the process exits. */
const stoppingAnswer: EarlyAnswer = {status: 503, reason: 'stopping', retryAfterMilliseconds: stoppingRetryMilliseconds};

/** Answer to a call whose body finds no room in memory. */
const noRoomAnswer: EarlyAnswer = {status: 503, reason: 'overloaded', retryAfterMilliseconds: noRoomRetryMilliseconds};

/** Answer to a call without the key of an organisation on a route that is not public. */
const unauthorizedAnswer: EarlyAnswer = {status: 401, reason: 'unauthorized'};

type RoutedCallWithKey = {readonly routed: RoutedCall; readonly key: KeyAdmission};

/** A call whose body was read, completely or up to the limit of buffered bodies. */
type ReadCall = RoutedCallWithKey & {readonly body: RequestBody; readonly arrivedAt: number};

export class RoutedServer extends Disposable {
	private readonly _dependencies: RoutedServerDependencies;
	private readonly _limits: RoutedServerLimits;
	private readonly _server: GracefulServer;
	private readonly _onAnswerCut = this._register(new Emitter<CutAnswerReport>());
	private readonly _onCallRefusedAtStop = this._register(new Emitter<void>());
	private readonly _onKeyRefused = this._register(new Emitter<KeyRefusal>());
	private _callerLimits = initialCallerLimits;
	private _stage: FleetStage = 'starting';
	/** Number of configurations applied so far; 0 = none is known. */
	private _revision = 0;
	private readonly _incompleteCalls = new IncompleteCalls();
	private readonly _unpausedAnswers = new UnpausedAnswers();
	private _lastCallId = 0;

	/** Fires if a connection is closed before the kernel has accepted all bytes of an answer. */
	readonly onAnswerCut = this._onAnswerCut.event;

	/** Fires if a call is refused because the VM is stopping. */
	readonly onCallRefusedAtStop = this._onCallRefusedAtStop.event;

	/** Fires if a call is refused because it has no valid key. */
	readonly onKeyRefused = this._onKeyRefused.event;

	constructor(dependencies: RoutedServerDependencies, limits: RoutedServerLimits) {
		super();
		this._dependencies = dependencies;
		this._limits = limits;
		this._server = this._register(new GracefulServer({
			maxHeaderSize: initialCallerLimits.headBytes,
			headersTimeout: initialCallerLimits.headMilliseconds,
			requestTimeout: 0,
			keepAliveTimeout: initialCallerLimits.idleMilliseconds,
			noDelay: true,
		}, (incoming, outgoing) => {
			this._handleRequest(incoming, outgoing);
		}, incoming => this._mayRunConcurrently(incoming), {budget: dependencies.connectionBudget, name: 'callers', maxConnections: limits.connections}));
		this._register(this._server.onCut(({incoming, ...cut}) => {
			this._onAnswerCut.fire({...cut, traceId: dependencies.dialect.parseRequestHead(incoming.headers).traceId, stage: this._stage});
		}));
	}

	/** Answers that the kernel has not completely accepted yet, plus connections that are closing. */
	get unfinishedAnswers(): number {
		return this._server.unfinishedAnswers;
	}

	/** Starts listening; resolves with the bound port. */
	async listen(port: number, address: string, options: Omit<ListenOptions, 'backlog'> = {}): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, {...options, backlog: listenBacklog});
	}

	/** Applies routes and limits to all calls that arrive from now on, and organisations also to calls whose body is being read. */
	configure({routes, limits}: Routing, declared: DeclaredOrganisations): void {
		this._dependencies.routes.replace(routes);
		this._dependencies.organisations.configure(declared);
		this._callerLimits = limits;
		this._server.headersTimeout = limits.headMilliseconds;
		this._server.keepAliveTimeout = limits.idleMilliseconds;
		this._revision++;
	}

	/**
	 * Enters a stage of the VM's life cycle. From `leaving` on, each connection closes after its answer; idle connections stay
	 * open, because a call that arrives while one closes would be lost. From `draining` on, all calls are refused, no new
	 * connections are accepted, and idle connections are closed.
	 */
	enter(stage: FleetStage): void {
		this._stage = stage;
		if (stage === 'leaving' || stage === 'draining') {
			this._server.disableKeepAlive();
		}

		if (stage === 'draining') {
			this._server.stopListening();
			this._incompleteCalls.refuseAll();
		}
	}

	/** Closes the listener; resolves once the last refusals are sent or `maxCloseMilliseconds` has passed. */
	async end(): Promise<void> {
		await closeListener(this._server, maxCloseMilliseconds);
		this._server.destroyConnections();
	}

	/** Pipelined calls run side by side if they are idempotent and have no body. */
	private _mayRunConcurrently({headers, url = ''}: IncomingMessage): boolean {
		const hasBody = headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
		return !hasBody && this._dependencies.routes.findRoute(headers.host ?? '', url)?.rule.isIdempotent === true;
	}

	private _handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
		if (refusingStages.has(this._stage)) {
			this._refuseStopping(incoming, outgoing);
			return;
		}

		this._dependencies.readinessGate.whenReady(() => {
			if (!outgoing.destroyed) {
				this._route(incoming, outgoing);
			}
		});
	}

	private _route(incoming: IncomingMessage, outgoing: ServerResponse): void {
		if (this._revision === 0) {
			this._answerEarly(incoming, outgoing, {status: 503, reason: 'not-ready', retryAfterMilliseconds: notReadyRetryMilliseconds});
			return;
		}

		const key = this._checkKey(incoming, outgoing);
		if (key === undefined) {
			return;
		}

		const routed = this._dependencies.routes.match(incoming.headers.host ?? '', incoming.url ?? '');
		if (routed === undefined) {
			this._answerEarly(incoming, outgoing, {status: 404, reason: 'unknown-service'});
			return;
		}

		this._readBody(incoming, outgoing, {routed, key});
	}

	/**
	 * Checks the key against the organisations in force. Returns undefined if the call was refused, which happens before any
	 * other decision so that a caller without a key learns nothing, not even which routes exist.
	 */
	private _checkKey(incoming: IncomingMessage, outgoing: ServerResponse): KeyAdmission | undefined {
		const {organisations, routes, dialect} = this._dependencies;
		const check = organisations.check(incoming.rawHeaders);
		if (check.type === 'not-required') {
			return {isKeyChecked: false, organisation: undefined, revision: this._revision};
		}

		if (check.type === 'identified') {
			return {isKeyChecked: true, organisation: check.organisation, revision: this._revision};
		}

		const route = routes.findRoute(incoming.headers.host ?? '', incoming.url ?? '');
		if (route?.isPublic === true && !hasDotSegment(incoming.url ?? '')) {
			return {isKeyChecked: true, organisation: undefined, revision: this._revision};
		}

		this._onKeyRefused.fire({
			address: incoming.socket.remoteAddress ?? '', isKeySent: check.isKeySent, traceId: dialect.parseRequestHead(incoming.headers).traceId, route: route?.name,
		});
		this._answerEarly(incoming, outgoing, unauthorizedAnswer);
		return undefined;
	}

	private _readBody(incoming: IncomingMessage, outgoing: ServerResponse, routedCall: RoutedCallWithKey): void {
		const limits = {bodyBytes: this._callerLimits.bodyBytes, keptBodyBytes: this._limits.keptBodyBytes};
		const body = new RequestBody(incoming, limits, this._dependencies.heldMemory.bodies);
		if (body.isTooLarge) {
			outgoing.setHeader('connection', 'close');
			this._answerEarly(incoming, outgoing, {status: 413, reason: 'unknown-service'});
			return;
		}

		const arrivedAt = performance.now();
		if (body.isAnnounced) {
			this._incompleteCalls.add(outgoing, () => {
				this._refuseStopping(incoming, outgoing);
			});
			outgoing.once('close', () => {
				body.release();
			});
		}

		body.read(() => {
			this._incompleteCalls.remove(outgoing);
			if (outgoing.writableEnded) {
				body.discard();
			} else if (!outgoing.destroyed) {
				this._admit(incoming, outgoing, {...routedCall, body, arrivedAt});
			}
		}, () => {
			this._incompleteCalls.remove(outgoing);
			if (!outgoing.writableEnded && !outgoing.destroyed) {
				this._answerEarly(incoming, outgoing, noRoomAnswer);
			}
		});
	}

	private _admit(incoming: IncomingMessage, outgoing: ServerResponse, {routed, body, key, arrivedAt}: ReadCall): void {
		// A key that was revoked while the body was read must not be used any more.
		const admission = key.revision === this._revision ? key : this._checkKey(incoming, outgoing);
		if (admission === undefined) {
			return;
		}

		const {isKeyChecked, organisation} = admission;
		const {dialect, sink, connections, calls, fingerprint} = this._dependencies;
		this._lastCallId += 1;
		const method = incoming.method!;
		const path = incoming.url!;
		const address = incoming.socket.remoteAddress ?? '';
		const {traceId, timeoutMilliseconds} = dialect.parseRequestHead(incoming.headers);
		const readMilliseconds = performance.now() - arrivedAt;
		const request: CallRequest = {
			callId: this._lastCallId,
			service: routed.service,
			caller: organisation?.name ?? address,
			method,
			path,
			fingerprint: fingerprint({
				caller: organisation?.name ?? address, host: incoming.headers.host ?? '', method, path,
			}, body.buffered),
			timeoutMilliseconds: timeoutMilliseconds === undefined ? undefined : Math.max(1, timeoutMilliseconds - readMilliseconds),
			bodyBytes: body.isReplayable ? body.buffered.length : undefined,
			idempotencyKey: undefined,
			mayRetry: true,
			rule: routed.route.rule,
			...(organisation === undefined ? {} : {organisation: organisation.name}),
			...(organisation?.priority === undefined ? {} : {priority: organisation.priority}),
		};
		const call = new LiveCall(request, {
			incoming,
			outgoing,
			path,
			body,
			traceId,
			dialect,
			hidesKey: () => isKeyChecked || this._dependencies.organisations.isRequired,
			stallMilliseconds: this._limits.stallMilliseconds,
			unpausedAnswers: this._unpausedAnswers,
			answerBudget: this._dependencies.heldMemory.answers,
		}, sink, connections);
		calls.admit(call, {type: 'call-arrived', request});
	}

	private _refuseStopping(incoming: IncomingMessage, outgoing: ServerResponse): void {
		this._onCallRefusedAtStop.fire();
		this._answerEarly(incoming, outgoing, stoppingAnswer);
	}

	private _answerEarly(incoming: IncomingMessage, outgoing: ServerResponse, {status, reason, retryAfterMilliseconds}: EarlyAnswer): void {
		discardBody(incoming, this._callerLimits.bodyBytes);
		const {headers, body} = this._dependencies.dialect.refusal({
			status, reason, outcome: 'not-run', retryAfterMilliseconds,
		});
		outgoing.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body)});
		outgoing.end(body);
	}
}
