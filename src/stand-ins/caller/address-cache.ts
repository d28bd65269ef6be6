/** Caches the VM addresses of each service for the time given in the address answer. */
import {performance} from 'node:perf_hooks';
import {type Dispatcher} from 'undici';
import {type Instant, type RandomSource} from '../../common/model/units.ts';
import {addressesPath} from '../../common/protocol/headers.ts';
import {type AddressAnswer, addressAnswerSchema, type VmAddress} from './types.ts';

const requestTimeoutMilliseconds = 1000;
/** A VM whose connection failed is not chosen for this time, unless all VMs are avoided. */
const avoidMilliseconds = 2000;

type CachedAnswer = {readonly answer: AddressAnswer; readonly expiresAt: Instant};

/** Requests addresses from the seeds in turn. If none responds, an expired answer stays in use. */
export class AddressCache {
	private readonly _cached = new Map<string, CachedAnswer>();
	private readonly _pendingRequests = new Map<string, Promise<void>>();
	private readonly _avoidedUntil = new Map<string, Instant>();

	private readonly _dispatcher: Dispatcher;
	private readonly _seeds: readonly string[];
	private readonly _random: RandomSource;
	private _answerCount = 0;

	constructor(dispatcher: Dispatcher, seeds: readonly string[], random: RandomSource) {
		this._dispatcher = dispatcher;
		this._seeds = seeds;
		this._random = random;
	}

	/** Number of address answers received. */
	get answerCount(): number {
		return this._answerCount;
	}

	/** Chooses a VM by weight; undefined if no seed has ever returned addresses for the service. */
	async choose(service: string): Promise<VmAddress | undefined> {
		const cached = this._cached.get(service);
		if (cached === undefined || cached.expiresAt <= performance.now()) {
			await this._refreshOnce(service);
		}

		const vms = this._cached.get(service)?.answer.vms ?? [];
		const now = performance.now();
		const usable = vms.filter(vm => (this._avoidedUntil.get(`${vm.address}:${vm.port}`) ?? 0) <= now);
		return this._chooseByWeight(usable.length > 0 ? usable : vms);
	}

	/** Avoids a VM for some time after a failed connection. */
	avoid(vm: VmAddress): void {
		this._avoidedUntil.set(`${vm.address}:${vm.port}`, performance.now() + avoidMilliseconds);
	}

	private _chooseByWeight(vms: readonly VmAddress[]): VmAddress | undefined {
		const total = vms.reduce((sum, vm) => sum + vm.weight, 0);
		let remainingWeight = this._random.next() * total;
		for (const vm of vms) {
			remainingWeight -= vm.weight;
			if (remainingWeight < 0) {
				return vm;
			}
		}

		return vms[0];
	}

	/** Concurrent calls that find the answer expired share one request. */
	private async _refreshOnce(service: string): Promise<void> {
		const pending = this._pendingRequests.get(service);
		if (pending !== undefined) {
			return pending;
		}

		const refresh = this._refresh(service);
		this._pendingRequests.set(service, refresh);
		await refresh;
		this._pendingRequests.delete(service);
	}

	private async _refresh(service: string): Promise<void> {
		const first = Math.floor(this._random.next() * this._seeds.length);
		for (let index = 0; index < this._seeds.length; index++) {
			const seed = this._seeds[(first + index) % this._seeds.length]!;
			const answer = await this._requestFromSeed(seed, service);
			if (answer !== undefined && answer.vms.length > 0) {
				this._answerCount++;
				this._cached.set(service, {answer, expiresAt: performance.now() + answer.keepForMilliseconds});
				return;
			}
		}
	}

	private async _requestFromSeed(seed: string, service: string): Promise<AddressAnswer | undefined> {
		try {
			const {statusCode, body} = await this._dispatcher.request({
				origin: `http://${seed}`,
				path: `${addressesPath}?service=${encodeURIComponent(service)}`,
				method: 'GET',
				signal: AbortSignal.timeout(requestTimeoutMilliseconds),
			});
			const text = await body.text();
			return statusCode === 200 ? addressAnswerSchema.safeParse(JSON.parse(text)).data : undefined;
		} catch {
			return undefined;
		}
	}
}
