/** Fleet of real daemons that run as processes on loopback, with the counters that the benchmark reads from them. */
import {createSocket} from 'node:dgram';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {parse, stringify} from 'smol-toml';
import {Agent} from 'undici';
import {z} from 'zod';
import {Disposable, toDisposable} from '../../src/common/lifecycle/disposable.ts';
import {type Resource} from '../../src/common/model/resources.ts';
import {OperatorClient} from '../../src/demo/operator-client.ts';
import {
	exampleToken, exampleTokensFile, type VmPlan, writeVmSettings,
} from '../../src/demo/vm-settings.ts';
import {ChildProgram} from '../../src/stand-ins/child-program.ts';
import {freePorts} from '../../src/stand-ins/free-ports.ts';
import {standInClient} from '../../src/stand-ins/stand-in-client.ts';

/** A VM: the process of its daemon, and a client of its operator interface. */
export type ControlVm = {readonly plan: VmPlan; readonly program: ChildProgram; readonly operator: OperatorClient};

/** Counters at one instant, summed over all VMs unless stated otherwise. */
export type ControlCounters = {
	readonly at: number;
	readonly peerBytes: number;
	readonly peerMessages: number;
	readonly storeCalls: number;
	/** Processor time of each VM in milliseconds, in the order of the fleet. */
	readonly processorMilliseconds: readonly number[];
};

const updateSchema = z.object({version: z.int()});
const vmsSchema = z.object({vms: z.array(z.object({state: z.string()}))});
const timeoutMilliseconds = 60_000;
const pollMilliseconds = 50;

/** Linux counts processor time in ticks of 10 ms. */
const millisecondsPerTick = 10;
const pageBytes = 4096;

export class ControlFleet extends Disposable {
	readonly vms: ControlVm[] = [];
	readonly backendPorts: number[] = [];
	platformPort = 0;
	private readonly _folder = mkdtempSync(join(tmpdir(), 'jaydale-control-'));
	private readonly _agent = this._register(new DisposableAgent());
	private readonly _statsd = createSocket('udp4');
	private _plans: VmPlan[] = [];
	private _peerBytes = 0;
	private _peerMessages = 0;

	constructor() {
		super();
		this._register(toDisposable(() => {
			this._statsd.close();
			rmSync(this._folder, {recursive: true});
		}));
		this._statsd.on('message', datagram => {
			this._addMetrics(datagram.toString());
		});
	}

	/** Starts the platform, backend servers and `count` daemons, and waits until every daemon lists all others as live. */
	async start(count: number, backendServers: number): Promise<boolean> {
		await new Promise<void>(resolve => {
			this._statsd.bind(0, '127.0.0.1', resolve);
		});
		const platform = await this._startProgram('src/stand-ins/platform/main', []);
		this.platformPort = platform.listening;
		const group = await this._startProgram('src/stand-ins/backend-server/main', ['--count', String(backendServers)]);
		this.backendPorts.push(...group.ports ?? []);
		// Spare ports are for daemons that replace others.
		const sparePlans = Math.max(2, Math.ceil(count / 4));
		const ports = await freePorts((count + sparePlans) * 3);
		this._plans = Array.from({length: count + sparePlans}, (_, index) => ({
			name: `vm-${index}`, dataCentre: `gdansk-${(index % 3) + 1}`, callPort: ports[index * 3]!, operatorPort: ports[(index * 3) + 1]!, peerPort: ports[(index * 3) + 2]!,
		}));
		for (let index = 0; index < count; index += 1) {
			await this.startVm();
		}

		return this._waitFor(async () => this._haveAllMembers(count));
	}

	/** Starts another daemon. The platform lists it immediately. */
	async startVm(): Promise<ControlVm> {
		const plan = this._plans[this.vms.length]!;
		const running = [...this.vms.map(vm => vm.plan), plan];
		await standInClient.setVms(this.platformPort, {
			vms: running.map(other => ({address: `127.0.0.1:${other.peerPort}`, dataCentre: other.dataCentre, state: 'live' as const})),
		});
		const file = writeVmSettings(this._folder, plan, running.slice(-4), {
			platformUrl: `http://127.0.0.1:${this.platformPort}`, tokensFile: exampleTokensFile, keepForMilliseconds: 1000, logLevel: 'error',
		});
		const settings = parse(readFileSync(file, 'utf8'));
		writeFileSync(file, stringify({
			...settings,
			metrics: {enabled: true, host: '127.0.0.1', port: this._statsd.address().port},
			shares: {slots: 48},
		}));
		const vm = {
			plan,
			program: this._register(new ChildProgram({program: 'src/daemon/main', parameters: ['serve', '--settings', file]})),
			operator: new OperatorClient(`http://127.0.0.1:${plan.operatorPort}`, exampleToken),
		};
		this.vms.push(vm);
		return vm;
	}

	/** Waits until a VM has a version above `after` in force; returns version and instant, or undefined after `milliseconds`. */
	async nextVersion(vm: ControlVm, after: number, milliseconds: number): Promise<{readonly version: number; readonly at: number} | undefined> {
		const update = await this.readJson(vm, `/v1/watch?after=${after}&milliseconds=${milliseconds}`, updateSchema);
		return update && update.version > after ? {version: update.version, at: performance.now()} : undefined;
	}

	/** Sends a change to a VM; returns the new version and the instant of its acceptance, or undefined if it was not accepted. */
	async change(vm: ControlVm, resources: readonly Resource[]): Promise<{readonly version: number; readonly at: number} | undefined> {
		const accepted = await vm.operator.putAll(resources, 'benchmark', timeoutMilliseconds, () => vm.program.exitCode === undefined);
		return accepted.isOk() ? {version: accepted.value, at: performance.now()} : undefined;
	}

	async readJson<T>(vm: ControlVm, path: string, schema: z.ZodType<T>): Promise<T | undefined> {
		try {
			const {statusCode, body} = await this._agent.agent.request({
				origin: `http://127.0.0.1:${vm.plan.operatorPort}`, path, method: 'GET', headers: {authorization: `Bearer ${exampleToken}`},
			});
			const parsed = schema.safeParse(await body.json());
			return statusCode === 200 && parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	}

	/** Waits until a version is in force on all running VMs; false on timeout. */
	async waitInForce(version: number): Promise<boolean> {
		return this._waitFor(async () => {
			const versions = await Promise.all(this.running().map(async vm => vm.operator.versionInForce()));
			return versions.every(inForce => (inForce ?? 0) >= version);
		});
	}

	running(): readonly ControlVm[] {
		return this.vms.filter(({program}) => program.exitCode === undefined);
	}

	async counters(): Promise<ControlCounters> {
		const counts = await standInClient.platformCounts(this.platformPort);
		return {
			at: performance.now(),
			peerBytes: this._peerBytes,
			peerMessages: this._peerMessages,
			storeCalls: Object.values(counts).reduce((sum, count) => sum + count, 0),
			processorMilliseconds: this.running().map(({program}) => processorMilliseconds(program.pid)),
		};
	}

	/** Resident memory of each VM in megabytes. */
	memory(): readonly number[] {
		return this.running().map(({program}) => Number(readFileSync(`/proc/${program.pid}/statm`, 'utf8').split(' ')[1]) * pageBytes / 1_000_000);
	}

	private async _haveAllMembers(count: number): Promise<boolean> {
		const lists = await Promise.all(this.vms.map(async vm => this.readJson(vm, '/v1/vms', vmsSchema)));
		return lists.every(list => list?.vms.filter(({state}) => state === 'live').length === count);
	}

	private async _waitFor(check: () => Promise<boolean>): Promise<boolean> {
		const deadline = performance.now() + timeoutMilliseconds;
		while (performance.now() < deadline) {
			if (await check()) {
				return true;
			}

			await delay(pollMilliseconds);
		}

		return false;
	}

	private async _startProgram(program: string, parameters: readonly string[]): Promise<{readonly listening: number; readonly ports?: readonly number[]}> {
		const child = this._register(new ChildProgram({program, parameters}));
		const ready = await child.ready();
		return ready.unwrapOr({listening: 0});
	}

	private _addMetrics(text: string): void {
		for (const line of text.split('\n')) {
			const match = /^jaydale\.peers\.(?<name>bytes|messages):(?<count>[\d.]+)\|c.*direction:out/v.exec(line);
			if (match?.groups) {
				const count = Number(match.groups.count);
				this._peerBytes += match.groups.name === 'bytes' ? count : 0;
				this._peerMessages += match.groups.name === 'messages' ? count : 0;
			}
		}
	}
}

/** Processor time from fields 14 and 15 of `/proc/PID/stat`, counted from behind the process name, which may contain spaces. */
function processorMilliseconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * millisecondsPerTick;
}

class DisposableAgent {
	readonly agent = new Agent({headersTimeout: 60_000});

	dispose(): void {
		void this.agent.destroy();
	}
}
