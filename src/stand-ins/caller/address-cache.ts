/** Which VMs to use: asked of the system, kept for as long as the answer says. */
import {performance} from 'node:perf_hooks';
import {type Dispatcher} from 'undici';
import {type Instant, type RandomSource} from '../../common/model/units.ts';
import {addressesPath} from '../../common/protocol/headers.ts';
import {type AddressAnswer, addressAnswerSchema, type VmAddress} from './types.ts';

const askTimeoutMilliseconds = 1000;
/** A VM that failed is passed over for this long, unless no other is left. */
const avoidMilliseconds = 2000;

type Kept = {readonly answer: AddressAnswer; readonly until: Instant};

/** Asks any seed; an old answer serves on where nobody answers. */
export class AddressBook {
	private readonly _kept = new Map<string, Kept>();
	private readonly _asking = new Map<string, Promise<void>>();
	private readonly _avoidedUntil = new Map<string, Instant>();

	private readonly _dispatcher: Dispatcher;
	private readonly _seeds: readonly string[];
	private readonly _random: RandomSource;
	private _answers = 0;

	constructor(dispatcher: Dispatcher, seeds: readonly string[], random: RandomSource) {
		this._dispatcher = dispatcher;
		this._seeds = seeds;
		this._random = random;
	}

	/** Answers got so far. */
	get answers(): number {
		return this._answers;
	}

	/** Chooses a VM by weight; undefined = nobody ever answered. */
	async choose(service: string): Promise<VmAddress | undefined> {
		const kept = this._kept.get(service);
		if (kept === undefined || kept.until <= performance.now()) {
			await this._askOnce(service);
		}

		const vms = this._kept.get(service)?.answer.vms ?? [];
		const now = performance.now();
		const good = vms.filter(vm => (this._avoidedUntil.get(`${vm.address}:${vm.port}`) ?? 0) <= now);
		return this._byWeight(good.length > 0 ? good : vms);
	}

	/** A connection to the VM failed: others go first for a while. */
	avoid(vm: VmAddress): void {
		this._avoidedUntil.set(`${vm.address}:${vm.port}`, performance.now() + avoidMilliseconds);
	}

	private _byWeight(vms: readonly VmAddress[]): VmAddress | undefined {
		const total = vms.reduce((sum, vm) => sum + vm.weight, 0);
		let place = this._random.next() * total;
		for (const vm of vms) {
			place -= vm.weight;
			if (place < 0) {
				return vm;
			}
		}

		return vms[0];
	}

	/** Calls that find the answer outdated at once share one question. */
	private async _askOnce(service: string): Promise<void> {
		const present = this._asking.get(service);
		if (present !== undefined) {
			return present;
		}

		const asking = this._ask(service);
		this._asking.set(service, asking);
		await asking;
		this._asking.delete(service);
	}

	private async _ask(service: string): Promise<void> {
		const first = Math.floor(this._random.next() * this._seeds.length);
		for (let index = 0; index < this._seeds.length; index++) {
			const seed = this._seeds[(first + index) % this._seeds.length]!;
			const answer = await this._askSeed(seed, service);
			if (answer !== undefined && answer.vms.length > 0) {
				this._answers++;
				this._kept.set(service, {answer, until: performance.now() + answer.keepForMilliseconds});
				return;
			}
		}
	}

	private async _askSeed(seed: string, service: string): Promise<AddressAnswer | undefined> {
		try {
			const {statusCode, body} = await this._dispatcher.request({
				origin: `http://${seed}`,
				path: `${addressesPath}?service=${encodeURIComponent(service)}`,
				method: 'GET',
				signal: AbortSignal.timeout(askTimeoutMilliseconds),
			});
			const text = await body.text();
			return statusCode === 200 ? addressAnswerSchema.safeParse(JSON.parse(text)).data : undefined;
		} catch {
			return undefined;
		}
	}
}
