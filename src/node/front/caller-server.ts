/** The callers' listener: calls to services, and the endpoint that lists the VMs to use. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import {type CallRequest} from '../../common/calls/types.ts';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter, type Event} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type DeclaredOrganisations, type OrganisationDirectory} from '../../common/organisations/organisation-directory.ts';
import {
	addressesPath, callPathPrefix, callerHeader, idempotencyKeyHeader, outcomeHeader, problemTypePrefix, retryHeader, timeoutHeader, traceHeader,
} from '../../common/protocol/headers.ts';
import {type Refusal} from '../../common/protocol/dialect.ts';
import {JaydaleDialect} from '../../common/protocol/jaydale-dialect.ts';
import {type ListenOptions, listenOn} from '../listening.ts';
import {continueTrace} from '../logging/trace-context.ts';
import {type HeldMemory} from '../memory/held-memory.ts';
import {type BackendConnections} from './backend-connections.ts';
import {type CallEffectExecutor} from './call-effect-executor.ts';
import {discardBody} from './discard-body.ts';
import {type CutAnswer, GracefulServer} from './graceful-server.ts';
import {IncompleteCalls} from './incomplete-calls.ts';
import {LiveCall} from './live-call.ts';
import {type BodyLimits, noRoomRetryMilliseconds, RequestBody} from './request-body.ts';
import {UnpausedAnswers} from './unpaused-answers.ts';
import {
	type CallEventSink, type FingerprintFunction, type KeyAdmission, type KeyRefusal,
} from './types.ts';

/** The VMs that callers of a service should use, with weights relative to each other. */
export type AddressList = {
	readonly vms: ReadonlyArray<{readonly address: string; readonly port: number; readonly weight: number}>;
	/** Time for which a caller may cache the list. */
	readonly keepForMilliseconds: Milliseconds;
};

/** Dependencies of the listener. */
export type CallerServerDependencies = {
	readonly sink: CallEventSink;
	readonly calls: CallEffectExecutor;
	readonly connections: BackendConnections;
	readonly addresses: (service: string) => AddressList | undefined;
	/** Returns a 64-bit digest of a call's method, path and buffered start of the body. */
	readonly fingerprint: FingerprintFunction;
	readonly organisations: OrganisationDirectory;
	/** Bounds the memory of buffered bodies and answers. */
	readonly heldMemory: HeldMemory;
};

/** Limits of the listener; each prevents a single caller from exhausting a shared resource. */
export type CallerServerLimits = BodyLimits & {
	/** Maximum number of open connections; any further one is closed at once. */
	readonly connections: number;
	/** Maximum size of a request head in bytes; a larger one is answered with 431. */
	readonly headBytes: number;
	/** Timeout for receiving the complete request head, so that a caller that sends it byte by byte cannot hold a connection. */
	readonly headMilliseconds: Milliseconds;
	/** Time without progress on a blocked write after which a caller's connection is closed. */
	readonly stallMilliseconds: Milliseconds;
	/** The same timeout once the backend server's answer has been received completely; the default is one minute. */
	readonly completeAnswerStallMilliseconds?: Milliseconds;
	/** Keep-alive timeout of an idle connection. */
	readonly idleMilliseconds: Milliseconds;
};

/** Retry delay for callers that a stopping VM has refused: almost immediate, since they retry on another VM. */
const stoppingRetryMilliseconds: Milliseconds = 20;

const maxTimeoutMilliseconds = 86_400_000;
const maxCallerNameLength = 128;
const maxIdempotencyKeyLength = 255;

function singleValue(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

/** Parses a whole number of milliseconds; undefined if the text is missing, `false` if it is invalid. */
function parseTimeout(text: string | undefined): number | undefined | false {
	if (text === undefined) {
		return undefined;
	}

	const value = Number(text);
	return /^\d{1,8}$/v.test(text) && value > 0 && value <= maxTimeoutMilliseconds ? value : false;
}

export class CallerServer extends Disposable {
	private readonly _dependencies: CallerServerDependencies;
	private readonly _limits: CallerServerLimits;
	private readonly _dialect = new JaydaleDialect();
	private readonly _server: GracefulServer;
	private readonly _incompleteCalls = new IncompleteCalls();
	private readonly _unpausedAnswers = new UnpausedAnswers();
	private readonly _onKeyRefused = this._register(new Emitter<KeyRefusal>());
	private _lastCallId = 0;
	/** Number of configurations applied so far. */
	private _revision = 0;

	/** Fires if a connection is closed before the kernel has accepted all bytes of an answer. */
	readonly onAnswerCut: Event<CutAnswer>;

	/** Fires if a call is refused because it has no valid key. */
	readonly onKeyRefused = this._onKeyRefused.event;

	constructor(dependencies: CallerServerDependencies, limits: CallerServerLimits) {
		super();
		this._dependencies = dependencies;
		this._limits = limits;
		// The handler of calls reads the body itself, so the adaptor must neither drain nor abort it.
		const listener = getRequestListener(this._createApplication().fetch, {autoCleanupIncoming: false, overrideGlobalObjects: false});
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

	/** Applies the declared organisations, also to calls whose body is being read. */
	configure(declared: DeclaredOrganisations): void {
		this._dependencies.organisations.configure(declared);
		this._revision++;
	}

	/** Starts listening; resolves with the bound port. */
	async listen(port: number, address: string, options?: ListenOptions): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, options);
	}

	/**
	 * Number of answers that the kernel has not completely accepted, plus connections that are closing. Can exceed the
	 * number of calls in flight: a call completes with the last byte from the backend server, before a slow caller has read it.
	 */
	get unfinishedAnswers(): number {
		return this._server.unfinishedAnswers;
	}

	/** Resolves with the number of open caller connections. */
	async countConnections(): Promise<number> {
		return new Promise(resolve => {
			this._server.getConnections((_error, count) => {
				resolve(count);
			});
		});
	}

	/** Closes idle connections now, and every other connection after its current answer. Cuts no answer. */
	closeIdle(): void {
		this._server.disableKeepAlive();
		this._server.closeIdleConnections();
	}

	/**
	 * Stops accepting connections. Open connections continue until their answers are complete, without a time limit. Calls whose
	 * bodies are still incomplete are refused.
	 */
	stopListening(): void {
		this.closeIdle();
		this._incompleteCalls.refuseAll();
		this._server.stopListening();
	}

	private _createApplication(): Hono<{Bindings: HttpBindings}> {
		const application = new Hono<{Bindings: HttpBindings}>();
		application.get(addressesPath, context => {
			const service = context.req.query('service') ?? '';
			const answer = this._dependencies.addresses(service);
			return answer === undefined
				? context.json({
					type: `${problemTypePrefix}unknown-service`, title: 'unknown service', status: 404, service,
				}, 404, {'content-type': 'application/problem+json'})
				: context.json(answer);
		});
		application.all(`${callPathPrefix}:service/*`, context => {
			this._handleCall(context.env.incoming, context.env.outgoing);
			return RESPONSE_ALREADY_SENT;
		});
		return application;
	}

	private _handleCall(incoming: IncomingMessage, outgoing: ServerResponse): void {
		const url = incoming.url!;
		const slash = url.indexOf('/', callPathPrefix.length);
		const service = url.slice(callPathPrefix.length, slash);
		const path = url.slice(slash);
		const keyAtArrival = this._checkKey(incoming, outgoing, service);
		if (keyAtArrival === undefined) {
			return;
		}

		const timeoutMilliseconds = parseTimeout(singleValue(incoming.headers[timeoutHeader]));
		if (timeoutMilliseconds === false) {
			this._refuseInvalidField(outgoing, 400, timeoutHeader);
			return;
		}

		const key = singleValue(incoming.headers[idempotencyKeyHeader]);
		if (key !== undefined && (key.length === 0 || key.length > maxIdempotencyKeyLength)) {
			this._refuseInvalidField(outgoing, 400, idempotencyKeyHeader);
			return;
		}

		const body = new RequestBody(incoming, this._limits, this._dependencies.heldMemory.bodies);
		if (body.isTooLarge) {
			outgoing.setHeader('connection', 'close');
			this._refuseInvalidField(outgoing, 413, 'content-length');
			return;
		}

		if (body.isAnnounced) {
			this._incompleteCalls.add(outgoing, () => {
				this._refuse(incoming, outgoing, {
					status: 503, reason: 'stopping', outcome: 'not-run', retryAfterMilliseconds: stoppingRetryMilliseconds,
				});
			});
			outgoing.once('close', () => {
				body.release();
			});
		}

		body.read(() => {
			this._incompleteCalls.remove(outgoing);
			if (outgoing.writableEnded) {
				body.discard();
				return;
			}

			// A key that was revoked while the body was read must not be used any more.
			const admission = keyAtArrival.revision === this._revision ? keyAtArrival : this._checkKey(incoming, outgoing, service);
			if (admission === undefined) {
				return;
			}

			const {isKeyChecked, organisation} = admission;
			this._lastCallId += 1;
			const caller = organisation?.name ?? singleValue(incoming.headers[callerHeader])?.slice(0, maxCallerNameLength) ?? incoming.socket.remoteAddress ?? '';
			const request: CallRequest = {
				callId: this._lastCallId,
				service,
				caller,
				method: incoming.method!,
				path,
				fingerprint: this._dependencies.fingerprint({
					caller, host: '', method: incoming.method!, path: url,
				}, body.buffered),
				timeoutMilliseconds,
				bodyBytes: body.isReplayable ? body.buffered.length : undefined,
				idempotencyKey: key,
				mayRetry: incoming.headers[retryHeader] !== 'none',
				...(organisation === undefined ? {} : {organisation: organisation.name}),
				...(organisation?.priority === undefined ? {} : {priority: organisation.priority}),
			};
			const {traceId, traceparent} = continueTrace(singleValue(incoming.headers[traceHeader]));
			const {stallMilliseconds, completeAnswerStallMilliseconds} = this._limits;
			const call = new LiveCall(request, {
				incoming, outgoing, path, body, traceId, traceparent, dialect: this._dialect, hidesKey: () => isKeyChecked, stallMilliseconds, completeAnswerStallMilliseconds, unpausedAnswers: this._unpausedAnswers,
				answerBudget: this._dependencies.heldMemory.answers,
			}, this._dependencies.sink, this._dependencies.connections);
			this._dependencies.calls.admit(call, {type: 'call-arrived', request});
		}, () => {
			this._incompleteCalls.remove(outgoing);
			if (!outgoing.writableEnded && !outgoing.destroyed) {
				this._refuse(incoming, outgoing, {
					status: 503, reason: 'overloaded', outcome: 'not-run', retryAfterMilliseconds: noRoomRetryMilliseconds,
				});
			}
		});
	}

	/** Checks the key against the organisations in force. Returns undefined if the call was refused. */
	private _checkKey(incoming: IncomingMessage, outgoing: ServerResponse, service: string): KeyAdmission | undefined {
		const check = this._dependencies.organisations.check(incoming.rawHeaders);
		if (check.type !== 'anonymous') {
			return {
				isKeyChecked: check.type === 'identified', organisation: check.type === 'identified' ? check.organisation : undefined, revision: this._revision,
			};
		}

		const {traceId} = continueTrace(singleValue(incoming.headers[traceHeader]));
		this._onKeyRefused.fire({
			address: incoming.socket.remoteAddress ?? '', isKeySent: check.isKeySent, traceId, route: service.slice(0, maxCallerNameLength),
		});
		this._refuse(incoming, outgoing, {
			status: 401, reason: 'unauthorized', outcome: 'not-run', retryAfterMilliseconds: undefined,
		});
		return undefined;
	}

	private _refuse(incoming: IncomingMessage, outgoing: ServerResponse, refusal: Refusal): void {
		discardBody(incoming, this._limits.bodyBytes);
		const {headers, body} = this._dialect.refusal(refusal);
		outgoing.writeHead(refusal.status, {...headers, 'content-length': Buffer.byteLength(body)});
		outgoing.end(body);
	}

	/** Refuses invalid input. The answer names the invalid field and states that nothing ran. */
	private _refuseInvalidField(outgoing: ServerResponse, status: number, field: string): void {
		discardBody(outgoing.req, this._limits.bodyBytes);
		const body = JSON.stringify({
			type: `${problemTypePrefix}invalid-field`, title: 'invalid field', status, field, outcome: 'not-run',
		});
		outgoing.writeHead(status, {'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body), [outcomeHeader]: 'not-run'});
		outgoing.end(body);
	}
}
