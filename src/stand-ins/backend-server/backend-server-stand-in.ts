/** Stand-in for a backend server: limited slots and connections, a load report that may lag, and injectable faults. */
import {randomBytes} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type Socket} from 'node:net';
import process from 'node:process';
import {Buffer} from 'node:buffer';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import {type LoadReport} from '../../common/calls/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {
	declaredNotRunHeader, healthPath, leavingHeader, loadPath, loadReportHeader,
} from '../../common/protocol/headers.ts';
import {crashHeader} from '../headers.ts';
import {HttpListener, type ListenFailure} from '../http-listener.ts';
import {type CallHost, CallRun} from './call-run.ts';
import {formatLoadReport, LoadReporter} from './load-reporter.ts';
import {SlotQueue} from './slot-queue.ts';
import {
	type BackendServerCounts, type BackendServerMode, type BackendServerUpdate, backendServerUpdateSchema, type BackendServerSettings,
	type CallRecord, defaultBackendServerSettings,
} from './types.ts';

const retryAfterSeconds = 1;

/** Runs within a test's process, or as a process of its own by `main.ts`. */
export class BackendServerStandIn extends Disposable implements CallHost {
	readonly settings: BackendServerSettings;
	private readonly _slots: SlotQueue;
	private readonly _listener: HttpListener;
	private readonly _instance = randomBytes(4).toString('hex');
	private readonly _records: CallRecord[] = [];
	private readonly _reporter: LoadReporter;
	private readonly _handleControlRequest: ReturnType<typeof getRequestListener>;
	private readonly _counts: BackendServerCounts = {
		started: 0, finished: 0, cancelled: 0, timedOut: 0, shed: 0, measured: 0, mostConnections: 0,
	};

	private _silentSockets = new WeakSet<Socket>();
	private _mode: BackendServerMode = 'normal';
	private _slowFactor = 10;
	private _drainingSince: number | undefined;
	private _reportLagMilliseconds = 0;
	private _defaultWorkMilliseconds: number;
	private _startedAt = 0;

	constructor(settings: Partial<BackendServerSettings> = {}) {
		super();
		this.settings = {...defaultBackendServerSettings, ...settings};
		this._defaultWorkMilliseconds = this.settings.workMilliseconds;
		this._slots = new SlotQueue(this.settings.slots, this.settings.queueLimit);
		this._reporter = new LoadReporter(() => this._currentLoad());
		this._handleControlRequest = getRequestListener(this._controlRoutes().fetch, {overrideGlobalObjects: false});
		this._listener = this._register(new HttpListener(this.settings, (request, response) => {
			this._handleRequest(request, response);
		}));
	}

	get defaultWorkMilliseconds(): number {
		return this._defaultWorkMilliseconds;
	}

	get defaultAnswerBytes(): number {
		return this.settings.answerBytes;
	}

	/** Starts to listen, and resolves with the port. */
	async start(): Promise<Result<number, ListenFailure>> {
		this._startedAt = performance.now();
		return this._listener.listen();
	}

	/** Records of all calls that were started, for the oracle; empty without `recordsCalls`. */
	calls(): readonly CallRecord[] {
		return this._records;
	}

	/** Counts since construction. */
	counts(): Readonly<BackendServerCounts> {
		return this._counts;
	}

	/** Changes the given fields; absent ones stay unchanged. */
	update(update: BackendServerUpdate): void {
		this._mode = update.mode ?? this._mode;
		this._slowFactor = update.slowFactor ?? this._slowFactor;
		this._reportLagMilliseconds = update.reportLagMilliseconds ?? this._reportLagMilliseconds;
		this._defaultWorkMilliseconds = update.workMilliseconds ?? this._defaultWorkMilliseconds;
		if (update.isDraining !== undefined) {
			this._drainingSince = update.isDraining ? (this._drainingSince ?? performance.now()) : undefined;
		}

		if (update.mode === 'silent') {
			this._silentSockets = new WeakSet(this._listener.openSockets());
		}
	}

	responseHeaders(): Record<string, string> {
		const report = this._report();
		return {
			[loadReportHeader]: formatLoadReport(report),
			...(report.isLeaving && {[leavingHeader]: 'true'}),
		};
	}

	scaledWorkMilliseconds(workMilliseconds: number): number {
		const ageMilliseconds = performance.now() - this._startedAt;
		const coldFactor = ageMilliseconds < this.settings.coldMilliseconds ? 1 + ((this.settings.coldFactor - 1) * (1 - (ageMilliseconds / this.settings.coldMilliseconds))) : 1;
		return workMilliseconds * coldFactor * (this._mode === 'slow' ? this._slowFactor : 1);
	}

	onStarted(run: CallRun): CallRecord {
		const now = performance.now();
		const record: CallRecord = {
			callId: run.callId,
			method: run.request.method ?? 'GET',
			path: run.path,
			startedAt: now,
			millisecondsIntoDrain: this._drainingSince === undefined ? undefined : now - this._drainingSince,
			state: 'running',
		};
		this._counts.started++;
		if (this.settings.recordsCalls) {
			this._records.push(record);
		}

		return record;
	}

	onEnded(_run: CallRun, record: CallRecord): void {
		const countNames = {
			finished: 'finished', cancelled: 'cancelled', 'timed-out': 'timedOut', running: 'cancelled',
		} as const;
		this._counts[countNames[record.state]]++;
		this._slots.release();
	}

	private _currentLoad(): LoadReport {
		return {
			inFlight: this._slots.inUse,
			queued: this._slots.queued,
			slots: this.settings.slots,
			instance: this._instance,
			isLeaving: this._drainingSince !== undefined,
		};
	}

	private _report(): LoadReport {
		return this._reporter.report(performance.now(), this._reportLagMilliseconds, this._mode === 'misleading' || this._mode === 'fail-fast');
	}

	private _controlRoutes(): Hono {
		const routes = new Hono();
		routes.get(loadPath, context => {
			this._counts.measured++;
			return context.json(this._report());
		});
		routes.get(healthPath, context => {
			this._counts.measured++;
			const report = this._report();
			return context.json(report, report.isLeaving ? 503 : 200);
		});
		routes.get('/admin/calls', context => context.json({calls: this._records}));
		routes.get('/admin/counts', context => context.json(this._counts));
		routes.post('/admin', async context => {
			const update = backendServerUpdateSchema.safeParse(await context.req.json());
			if (!update.success) {
				return context.json({message: update.error.message}, 400);
			}

			this.update(update.data);
			return context.json({mode: this._mode});
		});
		return routes;
	}

	private _handleRequest(request: IncomingMessage, response: ServerResponse): void {
		this._counts.mostConnections = Math.max(this._counts.mostConnections, this._listener.connections);
		// Simulates a connection whose state a device on the network path has lost: no response ever arrives.
		if (this._silentSockets.has(request.socket)) {
			return;
		}

		const path = request.url ?? '/';
		if (path === loadPath || path === healthPath || path === '/admin' || path.startsWith('/admin/')) {
			void this._handleControlRequest(request, response);
			return;
		}

		if (this._mode === 'fail-fast') {
			request.resume();
			response.writeHead(500, {...this.responseHeaders(), 'content-length': 0}).end();
			return;
		}

		this._readBody(request, body => {
			this._admit(new CallRun(request, response, this), body);
		});
	}

	private _readBody(request: IncomingMessage, done: (body: Uint8Array) => void): void {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			done(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
		});
	}

	private _admit(run: CallRun, body: Uint8Array): void {
		if (this._mode === 'crash-on-mark' && run.request.headers[crashHeader] === 'true') {
			this.onStarted(run);
			this._crash();
			return;
		}

		const start = (): void => {
			const remaining = run.remainingMilliseconds();
			if (remaining !== undefined && remaining <= 0) {
				this._shed(run);
				this._slots.release();
				return;
			}

			run.start(body);
		};

		if (!this._slots.acquire(start)) {
			this._shed(run);
			return;
		}

		run.response.once('close', () => {
			this._slots.cancel(start);
		});
	}

	/** Sends a response that declares that no part of the call was run or will be run. */
	private _shed(run: CallRun): void {
		this._counts.shed++;
		run.response.writeHead(503, {
			...this.responseHeaders(), [declaredNotRunHeader]: 'not-run', 'retry-after': String(retryAfterSeconds), 'content-length': '0',
		}).end();
	}

	private _crash(): void {
		if (this.settings.crash === 'exit') {
			process.kill(process.pid, 'SIGKILL');
		}

		this._listener.destroySockets();
	}
}
