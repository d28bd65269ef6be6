/** Processes of one benchmark: backend servers, load generator, and the measured process of jaydale. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../../src/common/errors/failure.ts';
import {Disposable, toDisposable} from '../../src/common/lifecycle/disposable.ts';
import {backendServerSchema, type Resource, serviceSchema} from '../../src/common/model/resources.ts';
import {OperatorClient} from '../../src/demo/operator-client.ts';
import {exampleToken, exampleTokensFile, writeVmSettings} from '../../src/demo/vm-settings.ts';
import {ChildProgram, type ProgramSettings, type ReadyLine} from '../../src/stand-ins/child-program.ts';
import {freePorts} from '../../src/stand-ins/free-ports.ts';
import {builtFiles} from '../../src/stand-ins/program-files.ts';
import {standInClient} from '../../src/stand-ins/stand-in-client.ts';
import {type GarbageCollection, garbageCollectionSchema} from './types.ts';

/** Error of a benchmark that could not be set up. */
export type TargetFailure = Failure<'not-set-up'>;

/** Kind of the measured process. */
export type TargetKind = 'daemon' | 'front-only';

const backendServerCount = 8;
const setUpTimeoutMilliseconds = 30_000;
const pollMilliseconds = 50;
const garbageCollectionObserver = 'src/stand-ins/garbage-collection-observer';

/** Owns the processes; disposal kills them. */
export class MeasuredTarget extends Disposable {
	private readonly _kind: TargetKind;
	private readonly _nodeOptions: readonly string[];
	private readonly _folder = mkdtempSync(join(tmpdir(), 'jaydale-bench-'));
	private _backendPorts: readonly number[] = [];
	private _loadPort = 0;
	private _callPort = 0;
	private _program: ChildProgram | undefined;

	constructor(kind: TargetKind, nodeOptions: readonly string[] = []) {
		super();
		this._kind = kind;
		this._nodeOptions = nodeOptions;
		this._register(toDisposable(() => {
			rmSync(this._folder, {recursive: true});
		}));
	}

	get backendPorts(): readonly number[] {
		return this._backendPorts;
	}

	/** Port of the load process. */
	get loadPort(): number {
		return this._loadPort;
	}

	/** Port at which jaydale accepts calls. */
	get callPort(): number {
		return this._callPort;
	}

	/** Process id of the measured process; 0 if none runs. */
	get pid(): number {
		return this._program?.pid ?? 0;
	}

	/** Starts all processes; `logLevel` is the log level of jaydale. */
	async setUp(logLevel: string): Promise<Result<void, TargetFailure>> {
		const backends = await this._start('src/stand-ins/backend-server/main', [
			'--no-record',
			'--work',
			'0',
			'--queue',
			'10000',
			'--connections',
			'100000',
			'--count',
			String(backendServerCount),
		]);
		const load = await this._start('benchmark/path/load-main', []);
		if (backends.isErr() || load.isErr()) {
			return err(backends.isErr() ? backends.error : load._unsafeUnwrapErr());
		}

		this._backendPorts = backends.value.ready.ports ?? [];
		this._loadPort = load.value.ready.listening;
		return this.startMeasured(logLevel);
	}

	/** Starts the measured process; replaces one that is running. */
	async startMeasured(logLevel: string): Promise<Result<void, TargetFailure>> {
		this._program?.dispose();
		if (this._kind === 'front-only') {
			const front = await this._start('benchmark/path/front-only', ['--backend-servers', this._backendPorts.join(',')], {nodeOptions: this._nodeOptions, preloads: [garbageCollectionObserver]});
			return front.andThen(({program, ready}) => {
				this._program = program;
				this._callPort = ready.listening;
				return ok();
			});
		}

		return this._startDaemon(logLevel);
	}

	/** Stops the measured process gracefully, so that it can write a profile. */
	async stopMeasured(): Promise<void> {
		await this._program?.stop(setUpTimeoutMilliseconds);
	}

	/** Number of calls that the backend servers have started. */
	async runs(): Promise<number> {
		const counts = await Promise.all(this._backendPorts.map(async port => standInClient.backendServerCounts(port)));
		return counts.reduce((sum, {started}) => sum + started, 0);
	}

	/** Garbage collection in the measured process since the previous request. */
	async garbageCollection(): Promise<GarbageCollection> {
		return new Promise(resolve => {
			const subscription = this._program!.onErrorLine(line => {
				const parsed = line.startsWith('{"pauses"') ? garbageCollectionSchema.safeParse(JSON.parse(line)) : undefined;
				if (parsed?.success === true) {
					subscription.dispose();
					resolve(parsed.data);
				}
			});
			this._program!.signal('SIGUSR2');
		});
	}

	private async _startDaemon(logLevel: string): Promise<Result<void, TargetFailure>> {
		const platform = await this._start('src/stand-ins/platform/main', []);
		if (platform.isErr()) {
			return err(platform.error);
		}

		const [callPort, operatorPort, peerPort] = await freePorts(3);
		const plan = {
			name: 'vm-bench', dataCentre: 'bench-1', callPort: callPort!, operatorPort: operatorPort!, peerPort: peerPort!,
		};
		const platformPort = platform.value.ready.listening;
		await standInClient.setVms(platformPort, {vms: [{address: `127.0.0.1:${plan.peerPort}`, dataCentre: plan.dataCentre, state: 'live'}]});
		const settingsFile = writeVmSettings(this._folder, plan, [plan], {
			platformUrl: `http://127.0.0.1:${platformPort}`, tokensFile: exampleTokensFile, keepForMilliseconds: 1000, logLevel,
		});
		this._callPort = plan.callPort;
		this._program = this._register(new ChildProgram({
			program: 'src/daemon/main',
			parameters: ['serve', '--settings', settingsFile],
			nodeOptions: this._nodeOptions,
			preloads: [garbageCollectionObserver],
			files: builtFiles,
		}));
		return this._declareResources(new OperatorClient(`http://127.0.0.1:${plan.operatorPort}`, exampleToken));
	}

	private async _declareResources(operator: OperatorClient): Promise<Result<void, TargetFailure>> {
		const resources: Resource[] = [
			serviceSchema.parse({
				kind: 'service', name: 'bench', timeoutMilliseconds: 600_000, queueLimit: 10_000,
			}),
			...this._backendPorts.map(port => backendServerSchema.parse({
				kind: 'backend-server', name: `bench-${port}`, service: 'bench', address: '127.0.0.1', port, dataCentre: 'bench-1',
			})),
		];
		const accepted = await operator.putAll(resources, 'benchmark', setUpTimeoutMilliseconds, () => this._program?.exitCode === undefined);
		if (accepted.isErr()) {
			return err(failure('not-set-up', `${accepted.error.message}\n${this._program?.lastErrorLines ?? ''}`));
		}

		const deadline = performance.now() + setUpTimeoutMilliseconds;
		while (performance.now() < deadline) {
			if ((await operator.versionInForce() ?? 0) >= accepted.value) {
				return ok();
			}

			await delay(pollMilliseconds);
		}

		return err(failure('not-set-up', 'the service was not in force before the set-up timeout'));
	}

	private async _start(
		program: string,
		parameters: readonly string[],
		options: Pick<ProgramSettings, 'nodeOptions' | 'preloads'> = {},
	): Promise<Result<{program: ChildProgram; ready: ReadyLine}, TargetFailure>> {
		const child = this._register(new ChildProgram({program, parameters, ...options}));
		const ready = await child.ready();
		return ready.map(line => ({program: child, ready: line})).mapErr(cause => failure('not-set-up', cause.message, {cause}));
	}
}
