/** Starts and stops the processes of the demo: platform, daemons, backend servers and callers. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';
import {type BackendServer, type Service} from '../common/model/resources.ts';
import {ChildProgram} from '../stand-ins/child-program.ts';
import {freePorts} from '../stand-ins/free-ports.ts';
import {standInClient} from '../stand-ins/stand-in-client.ts';
import {allResources, toLocalBackendServer, readExample} from './example-resources.ts';
import {OperatorClient} from './operator-client.ts';
import {
	exampleToken, exampleTokensFile, type VmPlan, writeVmSettings,
} from './vm-settings.ts';

/** Why the demo could not be set up. */
export type DemoFailure = Failure<'not-set-up'>;

/** A running daemon, with a client for its operators' port. */
export type DemoVm = {readonly plan: VmPlan; readonly program: ChildProgram; readonly operator: OperatorClient};

/** A running backend server; several of them may share a process. */
export type DemoBackendServer = {readonly resource: BackendServer; readonly port: number; readonly program: ChildProgram};

/** A running caller process. */
export type DemoCaller = {readonly service: Service; readonly port: number; readonly program: ChildProgram};

/** Load on a service; see the options of src/stand-ins/caller/main.ts. */
type Traffic = {readonly callsPerSecond: number; readonly orderShare: number; readonly workMilliseconds: number; readonly downloadEvery: number};

const customers = ['baltmor', 'cometa-alta'];
const dataCentres = ['gdansk-1', 'gdansk-2', 'gdansk-3'];
const trafficByService: Readonly<Record<string, Traffic>> = {
	spectrum: {
		callsPerSecond: 150, orderShare: 0, workMilliseconds: 4, downloadEvery: 0,
	},
	schedules: {
		callsPerSecond: 150, orderShare: 0, workMilliseconds: 4, downloadEvery: 0,
	},
	ordering: {
		callsPerSecond: 40, orderShare: 0.8, workMilliseconds: 10, downloadEvery: 0,
	},
	payments: {
		callsPerSecond: 40, orderShare: 0.8, workMilliseconds: 10, downloadEvery: 0,
	},
	documents: {
		callsPerSecond: 10, orderShare: 0, workMilliseconds: 5, downloadEvery: 2,
	},
	archive: {
		callsPerSecond: 10, orderShare: 0, workMilliseconds: 5, downloadEvery: 2,
	},
};
const downloadBytes = 2_000_000;
const setUpTimeoutMilliseconds = 30_000;
const pollMilliseconds = 50;
const keepForMilliseconds = 1000;

/** Owns all processes. Disposal kills those that still run and removes the settings files. */
export class DemoFleet extends Disposable {
	readonly vms: DemoVm[] = [];
	readonly backendServers: DemoBackendServer[] = [];
	readonly callers: DemoCaller[] = [];
	readonly services: Service[] = [];
	private readonly _folder = mkdtempSync(join(tmpdir(), 'jaydale-demo-'));
	private _platform: {readonly program: ChildProgram; readonly port: number} | undefined;

	constructor() {
		super();
		this._register(toDisposable(() => {
			rmSync(this._folder, {recursive: true});
		}));
	}

	/** Port of the platform's stand-in; 0 before it has started. */
	get platformPort(): number {
		return this._platform?.port ?? 0;
	}

	/** Starts all processes except the callers, and declares the resources. Resolves with their version once it is in force on every VM. */
	async setUp(): Promise<Result<number, DemoFailure>> {
		const platform = await this._start('src/stand-ins/platform/main', []);
		if (platform.isErr()) {
			return err(platform.error);
		}

		this._platform = platform.value;
		await this._startVms();
		const examples = customers.map(customer => readExample(customer));
		for (const example of examples) {
			this.services.push(...example.services);
			const started = await this._startBackendServers(example.services, example.backendServers);
			if (started.isErr()) {
				return err(started.error);
			}
		}

		const resources = examples.flatMap(example => allResources(example, this.backendServers.map(({resource}) => resource)
			.filter(resource => example.services.some(service => service.name === resource.service))));
		const accepted = await this.vms[0]!.operator.putAll(resources, 'the demo\'s services', setUpTimeoutMilliseconds, () => this.vms.every(vm => vm.program.exitCode === undefined));
		if (accepted.isErr()) {
			return this._fail(accepted.error.message);
		}

		return this._waitUntilInForce(accepted.value);
	}

	/** Starts one caller process for each service. */
	async startCallers(): Promise<Result<void, DemoFailure>> {
		const seeds = this.vms.map(vm => `127.0.0.1:${vm.plan.callPort}`).join(',');
		const started = await Promise.all(this.services.map(async service => {
			const traffic = trafficByService[service.name]!;
			const program = await this._start('src/stand-ins/caller/main', [
				'--seeds',
				seeds,
				'--name',
				'demo',
				'--service',
				service.name,
				'--rate',
				String(traffic.callsPerSecond),
				'--orders',
				String(traffic.orderShare),
				'--work',
				String(traffic.workMilliseconds),
				'--download-every',
				String(traffic.downloadEvery),
				'--download-bytes',
				String(downloadBytes),
			]);
			return program.map(({program, port}) => ({service, port, program}));
		}));
		for (const caller of started) {
			if (caller.isErr()) {
				return err(caller.error);
			}

			this.callers.push(caller.value);
		}

		return ok();
	}

	/** Kills the platform's stand-in at once, as in a crash. */
	killPlatform(): void {
		this._platform?.program.kill();
	}

	/** The last lines that the daemons wrote to standard error, for a failure report. */
	daemonErrorLines(): string {
		return this.vms.map(vm => `${vm.plan.name}: ${vm.program.lastErrorLines}`).join('\n');
	}

	private async _startVms(): Promise<void> {
		const ports = await freePorts(dataCentres.length * 3);
		const plans = dataCentres.map((dataCentre, index): VmPlan => ({
			name: `vm-${dataCentre}`, dataCentre, callPort: ports[index * 3]!, operatorPort: ports[(index * 3) + 1]!, peerPort: ports[(index * 3) + 2]!,
		}));
		await standInClient.setVms(this.platformPort, {
			vms: plans.map(plan => ({address: `127.0.0.1:${plan.peerPort}`, dataCentre: plan.dataCentre, state: 'live' as const})),
		});
		for (const plan of plans) {
			const settingsFile = writeVmSettings(this._folder, plan, plans, {
				platformUrl: `http://127.0.0.1:${this.platformPort}`, tokensFile: exampleTokensFile, keepForMilliseconds, logLevel: 'warn',
			});
			this.vms.push({
				plan,
				program: this._register(new ChildProgram({program: 'src/daemon/main', parameters: ['serve', '--settings', settingsFile]})),
				operator: new OperatorClient(`http://127.0.0.1:${plan.operatorPort}`, exampleToken),
			});
		}
	}

	/** Runs the first backend server of each service in a process of its own, because the demo drains one of these. The others of a service share a process. */
	private async _startBackendServers(services: readonly Service[], resources: readonly BackendServer[]): Promise<Result<void, DemoFailure>> {
		const started = await Promise.all(services.map(async service => {
			const ofService = resources.filter(resource => resource.service === service.name);
			const firstGroup = await this._startGroup(ofService.slice(0, 1));
			const remainingGroup = await this._startGroup(ofService.slice(1));
			return firstGroup.andThen(first => remainingGroup.map(others => [...first, ...others]));
		}));
		for (const group of started) {
			if (group.isErr()) {
				return err(group.error);
			}

			this.backendServers.push(...group.value);
		}

		return ok();
	}

	private async _startGroup(resources: readonly BackendServer[]): Promise<Result<DemoBackendServer[], DemoFailure>> {
		const slots = resources[0]?.slots ?? 1;
		const started = await this._start('src/stand-ins/backend-server/main', ['--count', String(resources.length), '--slots', String(slots)]);
		return started.map(({program, ports}) => resources.map((resource, index) => ({
			resource: toLocalBackendServer(resource, ports[index]!, dataCentres), port: ports[index]!, program,
		})));
	}

	private async _start(program: string, parameters: readonly string[]): Promise<Result<{program: ChildProgram; port: number; ports: readonly number[]}, DemoFailure>> {
		const child = this._register(new ChildProgram({program, parameters}));
		const ready = await child.ready();
		return ready
			.map(({listening, ports}) => ({program: child, port: listening, ports: ports ?? [listening]}))
			.mapErr(cause => failure('not-set-up', cause.message, {cause}));
	}

	private async _waitUntilInForce(version: number): Promise<Result<number, DemoFailure>> {
		const deadline = performance.now() + setUpTimeoutMilliseconds;
		while (performance.now() < deadline) {
			const versions = await Promise.all(this.vms.map(async vm => vm.operator.versionInForce()));
			if (versions.every(inForce => (inForce ?? 0) >= version)) {
				return ok(version);
			}

			await delay(pollMilliseconds);
		}

		return this._fail(`version ${version} did not come into force on every VM in time`);
	}

	private _fail(message: string): Result<never, DemoFailure> {
		return err(failure('not-set-up', `${message}\n${this.daemonErrorLines()}`));
	}
}
