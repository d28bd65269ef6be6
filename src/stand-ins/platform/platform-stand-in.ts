/** Stand-in for the platform: key-value service and VM list over HTTP, with injectable faults. */
import {setTimeout as delay} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {type Context, Hono} from 'hono';
import {type Result} from 'neverthrow';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {Disposable, DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {HttpListener, type ListenFailure} from '../http-listener.ts';
import {KeyValueStore} from './key-value-store.ts';
import {
	type PlatformCounts, type PlatformFaults, platformFaultsSchema, platformVmsSchema, storeOperationSchema,
} from './types.ts';
import {VmList} from './vm-list.ts';

type PlatformContext = Context<{Bindings: HttpBindings}>;

const leaseCheckMilliseconds = 50;

function isWrite(operation: StoreOperation): boolean {
	return operation.type !== 'get' && operation.type !== 'list' && operation.type !== 'watch';
}

function isRead(operation: StoreOperation): boolean {
	return operation.type === 'get' || operation.type === 'list' || operation.type === 'watch';
}

/** Runs within a test's process, or as a process of its own by `main.ts`. */
export class PlatformStandIn extends Disposable {
	private readonly _keyValues = new KeyValueStore();
	private readonly _vms = new VmList();
	private readonly _changed = this._register(new Emitter<void>());
	private readonly _listener: HttpListener;
	private readonly _counts: PlatformCounts = {};
	private readonly _disposeController = new AbortController();
	private _faults: Required<PlatformFaults> = {
		mode: 'up', delayMilliseconds: 0, loseAnswers: 0, stale: false,
	};

	private _staleCopy: KeyValueStore | undefined;

	constructor(port = 0, address = '127.0.0.1') {
		super();
		const handleRequest = getRequestListener(this._routes().fetch, {overrideGlobalObjects: false});
		this._listener = this._register(new HttpListener({address, port}, (request, response) => {
			void handleRequest(request, response);
		}));
		this._register(toDisposable(() => {
			this._disposeController.abort();
		}));
	}

	/** Starts to listen, and resolves with the port. */
	async start(): Promise<Result<number, ListenFailure>> {
		const timer = setInterval(() => {
			if (this._keyValues.expireLeases(performance.now())) {
				this._changed.fire();
			}
		}, leaseCheckMilliseconds);
		this._register(toDisposable(() => {
			clearInterval(timer);
		}));
		return this._listener.listen();
	}

	/** Requests by type since construction. */
	counts(): Readonly<PlatformCounts> {
		return {...this._counts};
	}

	/** Changes the given faults; absent ones stay unchanged. */
	setFaults(faults: PlatformFaults): void {
		if (faults.stale !== undefined && faults.stale !== this._faults.stale) {
			this._staleCopy = faults.stale ? this._keyValues.copy() : undefined;
		}

		this._faults = {...this._faults, ...faults};
	}

	/** Sets the current list of VMs, which is served after the lag. */
	setVms(vms: readonly ListedVm[]): void {
		this._vms.set(vms, performance.now());
	}

	/** Sets the delay after which changes of the VM list are served. */
	setVmLag(milliseconds: number): void {
		this._vms.setLag(milliseconds);
	}

	private _routes(): Hono<{Bindings: HttpBindings}> {
		const routes = new Hono<{Bindings: HttpBindings}>();
		routes.post('/kv', async context => this._handleOperation(context));
		routes.get('/vms', async context => this._handleVms(context));
		routes.get('/admin/counts', context => context.json(this._counts));
		routes.post('/admin/faults', async context => {
			const faults = platformFaultsSchema.safeParse(await context.req.json());
			if (!faults.success) {
				return context.json({message: faults.error.message}, 400);
			}

			this.setFaults(faults.data);
			return context.json(this._faults);
		});
		routes.post('/admin/vms', async context => {
			const update = platformVmsSchema.safeParse(await context.req.json());
			if (!update.success) {
				return context.json({message: update.error.message}, 400);
			}

			this.setVmLag(update.data.lagMilliseconds ?? 0);
			if (update.data.vms !== undefined) {
				this.setVms(update.data.vms);
			}

			return context.json({});
		});
		return routes;
	}

	/** Applies the current fault mode. Returns false if the connection was cut. */
	private async _applyFaults(context: PlatformContext): Promise<boolean> {
		if (this._faults.mode === 'slow') {
			await delay(this._faults.delayMilliseconds, undefined, {signal: this._disposeController.signal}).catch(() => undefined);
		}

		if (this._faults.mode === 'down') {
			context.env.incoming.socket.destroy();
			return false;
		}

		return true;
	}

	private _count(type: string): void {
		this._counts[type] = (this._counts[type] ?? 0) + 1;
	}

	private async _handleVms(context: PlatformContext): Promise<Response> {
		this._count('vms');
		if (!await this._applyFaults(context)) {
			return RESPONSE_ALREADY_SENT;
		}

		return this._faults.mode === 'refusing' ? context.json({type: 'unavailable'}, 503) : context.json(this._vms.visible(performance.now()));
	}

	private async _handleOperation(context: PlatformContext): Promise<Response> {
		const parsed = storeOperationSchema.safeParse(await context.req.json().catch(() => undefined));
		if (!parsed.success) {
			return context.json({message: parsed.error.message}, 400);
		}

		const operation = parsed.data;
		this._count(operation.type);
		if (!await this._applyFaults(context)) {
			return RESPONSE_ALREADY_SENT;
		}

		if (this._faults.mode === 'refusing') {
			return context.json({type: 'unavailable'} satisfies StoreReply, 503);
		}

		const reply = operation.type === 'watch' ? await this._watch(operation) : this._handle(operation);
		if (reply === undefined) {
			return context.json({message: 'value: longer than 1 MiB'}, 413);
		}

		if (this._consumeLostAnswer(operation, reply)) {
			context.env.incoming.socket.destroy();
			return RESPONSE_ALREADY_SENT;
		}

		return context.json(reply);
	}

	private _consumeLostAnswer(operation: StoreOperation, reply: StoreReply): boolean {
		const tookEffect = isWrite(operation) && (reply.type === 'written' || reply.type === 'lease');
		if (!tookEffect || this._faults.loseAnswers === 0) {
			return false;
		}

		this._faults.loseAnswers--;
		return true;
	}

	private _storeFor(operation: StoreOperation): KeyValueStore {
		return isRead(operation) && this._staleCopy !== undefined ? this._staleCopy : this._keyValues;
	}

	private _handle(operation: Exclude<StoreOperation, {type: 'watch'}>): StoreReply | undefined {
		const store = this._storeFor(operation);
		const before = store.revision;
		const reply = store.handle(operation, performance.now());
		if (store.revision !== before) {
			this._changed.fire();
		}

		return reply;
	}

	private async _watch(operation: Extract<StoreOperation, {type: 'watch'}>): Promise<StoreReply> {
		const findChanges = (): StoreReply | undefined => this._storeFor(operation).changes(operation.prefix, operation.after);
		const emptyReply = (): StoreReply => ({
			type: 'changes', entries: [], deleted: [], revision: this._storeFor(operation).revision,
		});
		const immediateReply = findChanges();
		if (immediateReply !== undefined) {
			return immediateReply;
		}

		return new Promise(resolve => {
			const disposables = this._register(new DisposableStore());
			const finish = (reply: StoreReply): void => {
				this._store.delete(disposables);
				resolve(reply);
			};

			const timer = setTimeout(() => {
				finish(emptyReply());
			}, operation.milliseconds);
			disposables.add(toDisposable(() => {
				clearTimeout(timer);
			}));
			disposables.add(this._changed.event(() => {
				const reply = findChanges();
				if (reply !== undefined) {
					finish(reply);
				}
			}));
		});
	}
}
