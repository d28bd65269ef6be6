/** The processes of the fault matrix: a stand-in platform, two VMs, and two backend servers behind relays. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Resource, resourceSchema} from '../../common/model/resources.ts';
import {OperatorClient} from '../../demo/operator-client.ts';
import {
	exampleToken, exampleTokensFile, type VmPlan, writeVmSettings,
} from '../../demo/vm-settings.ts';
import {ChildProgram} from '../../stand-ins/child-program.ts';
import {freePorts} from '../../stand-ins/free-ports.ts';
import {standInClient} from '../../stand-ins/stand-in-client.ts';
import {sendCall} from './proof-caller.ts';
import {Relay} from './relay.ts';

export type ProofVm = {readonly plan: VmPlan; readonly settingsFile: string; readonly operator: OperatorClient; program: ChildProgram};
export type ProofBackendServer = {readonly name: string; readonly relay: Relay; program: ChildProgram; hasLeft: boolean};

export const serviceName = 'proof';
const setUpTimeoutMilliseconds = 20_000;
const pollMilliseconds = 50;
/** A VM is healthy after this many consecutive answers with status 200. */
const healthyAnswers = 3;

export class ProofFleet extends Disposable {
	readonly vms: ProofVm[] = [];
	readonly backendServers: ProofBackendServer[] = [];
	platformPort = 0;
	private readonly _folder = mkdtempSync(join(tmpdir(), 'jaydale-proof-'));
	private readonly _vmOptions: readonly string[];
	private _probes = 0;

	/** `vmOptions` are Node options for the VMs' processes, such as a module to load. */
	constructor(vmOptions: readonly string[] = []) {
		super();
		this._vmOptions = vmOptions;
		this._register(toDisposable(() => {
			rmSync(this._folder, {recursive: true});
		}));
	}

	async setUp(): Promise<Result<void, Failure<'not-set-up'>>> {
		const [platformPort, ...ports] = await freePorts(9);
		this.platformPort = platformPort!;
		const platform = await this._run('src/stand-ins/platform/main', ['--port', String(platformPort)]).ready();
		if (platform.isErr()) {
			return err(failure('not-set-up', platform.error.message));
		}

		for (const [position, port] of ports.slice(6).entries()) {
			await this._addBackendServer(`proof-${position}`, port);
		}

		const plans = [0, 1].map((position): VmPlan => ({
			name: `vm-${position}`, dataCentre: 'gdansk-1', callPort: ports[position * 3]!, operatorPort: ports[(position * 3) + 1]!, peerPort: ports[(position * 3) + 2]!,
		}));
		await standInClient.setVms(this.platformPort, {vms: plans.map(({peerPort, dataCentre}) => ({address: `127.0.0.1:${peerPort}`, dataCentre, state: 'live' as const}))});
		for (const plan of plans) {
			const settingsFile = writeVmSettings(this._folder, plan, plans, {
				platformUrl: `http://127.0.0.1:${this.platformPort}`, tokensFile: exampleTokensFile, keepForMilliseconds: 1000, logLevel: 'warn',
			});
			const operator = new OperatorClient(`http://127.0.0.1:${plan.operatorPort}`, exampleToken);
			this.vms.push({
				plan, settingsFile, operator, program: this._runVm(settingsFile),
			});
		}

		const declared = await this.vms[0]!.operator.putAll(this.resources(), 'proof', setUpTimeoutMilliseconds, () => true);
		return declared.isErr() ? err(failure('not-set-up', `${declared.error.message}\n${this.vms[0]!.program.lastErrorLines}`)) : this.waitUntilHealthy();
	}

	/** The declared resources. A distinct timeout makes the content of each change distinct. */
	resources(timeoutMilliseconds = 3000): Resource[] {
		return [
			resourceSchema.parse({
				kind: 'service', name: serviceName, timeoutMilliseconds, retryShare: 1,
			}),
			...this.backendServers.map(({name, relay}) => resourceSchema.parse({
				kind: 'backend-server', name, service: serviceName, address: '127.0.0.1', port: relay.port, dataCentre: 'gdansk-1',
			})),
		];
	}

	/** Ends all faults, resumes frozen processes, and restarts ended ones. Fails if a VM does not become healthy. */
	async restore(): Promise<Result<void, Failure<'not-set-up'>>> {
		await standInClient.setFaults(this.platformPort, {mode: 'up', loseAnswers: 0, stale: false});
		for (const {relay} of this.backendServers) {
			relay.clearTrigger();
			relay.cutAll();
		}

		for (const vm of this.vms) {
			vm.program.signal('SIGCONT');
			if (!vm.program.isRunning) {
				vm.program = this._runVm(vm.settingsFile);
			}
		}

		for (const server of this.backendServers) {
			server.program.signal('SIGCONT');
			// A leaving process does not return to service, so it is replaced by a new one.
			if (server.hasLeft) {
				await server.program.stop(0);
			}

			if (!server.program.isRunning) {
				server.hasLeft = false;
				server.program = this._runBackendServer(server.relay.backendPort);
				await server.program.ready();
			}
		}

		return this.waitUntilHealthy();
	}

	/** Waits until each VM is healthy, for all VMs together up to `setUpTimeoutMilliseconds`. */
	async waitUntilHealthy(): Promise<Result<void, Failure<'not-set-up'>>> {
		const deadline = performance.now() + setUpTimeoutMilliseconds;
		for (const vm of this.vms) {
			let answered = 0;
			while (answered < healthyAnswers) {
				if (performance.now() > deadline) {
					return err(failure('not-set-up', `${vm.plan.name} does not answer calls with status 200: ${vm.program.lastErrorLines}`));
				}

				const answer = await sendCall({
					name: `probe-${++this._probes}`,
					method: 'GET',
					port: vm.plan.callPort,
					service: serviceName,
					timeoutMilliseconds: 500,
					workMilliseconds: 0,
					answerBytes: 10,
					bodyBytes: 0,
				});
				answered = answer.status === 200 ? answered + 1 : 0;
				await delay(answered === 0 ? pollMilliseconds : 0);
			}
		}

		return ok();
	}

	private async _addBackendServer(name: string, port: number): Promise<void> {
		const program = this._runBackendServer(port);
		const relay = this._register(new Relay(port));
		await Promise.all([relay.listen(), program.ready()]);
		this.backendServers.push({
			name, relay, program, hasLeft: false,
		});
	}

	private _runBackendServer(port: number): ChildProgram {
		return this._run('src/stand-ins/backend-server/main', ['--port', String(port)]);
	}

	private _runVm(settingsFile: string): ChildProgram {
		return this._run('src/daemon/main', ['serve', '--settings', settingsFile], this._vmOptions);
	}

	private _run(program: string, parameters: readonly string[], nodeOptions: readonly string[] = []): ChildProgram {
		return this._register(new ChildProgram({program, parameters, nodeOptions}));
	}
}
