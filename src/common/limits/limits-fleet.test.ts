/** A fleet of VMs with rate limits in virtual time: datagrams with delay and loss, and a store that grants leases on the slots. */
import {TimerQueue} from '../calls/timer-queue.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type OrganisationInForce, type OrganisationLimit} from '../organisations/types.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {seededRandom} from '../random/random.ts';
import {Limits} from './limits.ts';
import {type LimitMessage, limitSlotCount} from './messages.ts';
import {type LimitEvent, type LimitRight} from './types.ts';

const dataCentres = ['north', 'south', 'west'];
const leaseMilliseconds = 10_000;
const rightMilliseconds = 9500;
const renewalMilliseconds = 2000;
const windowMilliseconds = 5000;

/** Organisations whose sizes follow a power law by rank, 627 calls per second in total; each limit is 1.6 times the rate, the burst one second of it. */
export const usualRates = new Map<string, number>();
const weights = Array.from({length: 83}, (_, rank) => (rank + 1) ** -1.2);
const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
for (const [rank, weight] of weights.entries()) {
	usualRates.set(`o${rank + 1}`, 627 * weight / weightSum);
}

export const usualLimits: ReadonlyMap<string, OrganisationLimit> = new Map([...usualRates].map(([name, rate]) => [name, {callsPerSecond: rate * 1.6, burst: Math.max(1, Math.round(rate * 1.6))}]));
type Lease = {vm: FleetVm; since: Instant; until: Instant};

export type CallResult = {readonly organisation: string; readonly arrivedAt: Instant; readonly endedAt: Instant; readonly isAllowed: boolean};

export class FleetVm {
	readonly dataCentre: string;
	readonly address: string;
	/** The monotonic clock is this far behind: it stands still while the VM is suspended. */
	clockOffset: Milliseconds = 0;
	isAlive = true;
	isSuspended = false;
	isCutOff = false;
	hasStore = true;
	tickAt: Instant | undefined;
	limits: Limits;
	readonly deferred: LimitEvent[] = [];
	/** Calls that wait for a token. */
	readonly calls = new Map<number, {readonly organisation: string; readonly arrivedAt: Instant}>();

	constructor(index: number, seed: number) {
		this.dataCentre = dataCentres[index % dataCentres.length]!;
		this.address = `10.0.${index}.1:9`;
		this.limits = this.start(seed);
	}

	start(seed: number): Limits {
		this.limits = new Limits({dataCentre: this.dataCentre, random: seededRandom(seed), hash: testHash});
		return this.limits;
	}
}

export class LimitsFleet {
	now: Instant = 0;
	readonly random: RandomSource;
	readonly vms: FleetVm[] = [];
	readonly results: CallResult[] = [];
	/** Limits with the times at which they were changed. */
	readonly history: Array<{readonly at: Instant; readonly limits: ReadonlyMap<string, OrganisationLimit>}> = [];
	/** Fractions of datagrams that are lost, delivered twice, and late by up to three seconds. */
	faults = {lost: 0, repeated: 0, late: 0};
	messages = 0;
	bytes = 0;
	messagesBetweenDataCentres = 0;
	private readonly _queue = new TimerQueue<() => void>();
	private readonly _leases = new Map<number, Lease>();
	private _nextCall = 0;

	constructor(vmCount: number, limits: ReadonlyMap<string, OrganisationLimit>, seed: number) {
		this.random = seededRandom(seed);
		this.history.push({at: 0, limits});
		this.addVms(vmCount);
		this._runStore();
	}

	addVms(count: number): void {
		for (let added = 0; added < count; added += 1) {
			const vm = new FleetVm(this.vms.length, this._seed());
			this.vms.push(vm);
			this._inform(vm);
		}
	}

	at(time: Instant, action: () => void): void {
		this._queue.add(time, action);
	}

	runUntil(end: Instant): void {
		while ((this._queue.earliest ?? Infinity) <= end) {
			this.now = Math.max(this.now, this._queue.earliest!);
			this._queue.takeDue(this.now)?.();
		}

		this.now = end;
	}

	/** Sends Poisson arrivals of `organisation` to the VMs that `choose` returns. */
	load(organisation: string, callsPerSecond: number, end: Instant, choose: () => FleetVm): void {
		const next = () => {
			const at = this.now - (Math.log(1 - this.random.next()) * 1000 / callsPerSecond);
			this.at(at, () => {
				if (this.now < end) {
					this.call(choose(), organisation);
					next();
				}
			});
		};

		next();
	}

	call(vm: FleetVm, organisation: string): void {
		this._nextCall += 1;
		const callId = this._nextCall;
		if (vm.isAlive) {
			vm.calls.set(callId, {organisation, arrivedAt: this.now});
			this.handle(vm, {
				type: 'token-wanted', callId, organisation, withinMilliseconds: 5000,
			});
		}
	}

	anyVm(): FleetVm {
		return this.vms[Math.floor(this.random.next() * this.vms.length)]!;
	}

	holder(slot: number): FleetVm | undefined {
		return this._leases.get(slot)?.vm;
	}

	kill(vm: FleetVm): void {
		vm.isAlive = false;
		vm.calls.clear();
	}

	/** Starts a new process at the same address, which may take over the leases of its predecessor at once. */
	restart(vm: FleetVm): void {
		if (vm.isAlive) {
			return;
		}

		vm.isAlive = true;
		vm.start(this._seed());
		for (const [slot, lease] of this._leases) {
			if (lease.vm === vm) {
				this._leases.set(slot, {vm, since: this.now, until: this.now + leaseMilliseconds});
			}
		}

		this._inform(vm);
	}

	suspend(vm: FleetVm, milliseconds: Milliseconds): void {
		if (vm.isSuspended || !vm.isAlive) {
			return;
		}

		vm.isSuspended = true;
		this.at(this.now + milliseconds, () => {
			vm.isSuspended = false;
			vm.clockOffset += milliseconds;
			this.handle(vm, {type: 'woke'});
			for (const event of vm.deferred.splice(0)) {
				this.handle(vm, event);
			}
		});
	}

	change(limits: ReadonlyMap<string, OrganisationLimit>): void {
		this.history.push({at: this.now, limits});
		for (const vm of this.vms) {
			this.at(this.now + (this.random.next() * 2500), () => {
				this._configure(vm);
			});
		}
	}

	handle(vm: FleetVm, event: LimitEvent): void {
		if (!vm.isAlive) {
			return;
		}

		if (vm.isSuspended) {
			vm.deferred.push(event);
			return;
		}

		for (const effect of vm.limits.handle(event, this.now - vm.clockOffset)) {
			if (effect.type === 'send-datagram') {
				this._send(vm, effect.to, effect.message);
			} else if (effect.type === 'call-allowed' || effect.type === 'call-refused') {
				this.results.push({...vm.calls.get(effect.callId)!, endedAt: this.now, isAllowed: effect.type === 'call-allowed'});
				vm.calls.delete(effect.callId);
			}
		}

		const wakeUpAt = (vm.limits.nextWakeUp() ?? Infinity) + vm.clockOffset;
		if (wakeUpAt < (vm.tickAt ?? Infinity)) {
			vm.tickAt = wakeUpAt;
			// Rounding of clock offsets must not bring the tick before its time.
			this.at(Math.max(wakeUpAt, this.now) + 0.01, () => {
				vm.tickAt = undefined;
				this.handle(vm, {type: 'tick'});
			});
		}
	}

	/** Windows in which more calls ran than the limits allow, by the page's bound. */
	violations(): string[] {
		const found: string[] = [];
		for (const organisation of this.history[0]!.limits.keys()) {
			const runs = this.results.filter(result => result.organisation === organisation && result.isAllowed).map(({endedAt}) => endedAt);
			let first = 0;
			for (const [last, end] of runs.entries()) {
				while (runs[first]! <= end - windowMilliseconds) {
					first += 1;
				}

				const most = this._mostIn(organisation, end - windowMilliseconds, end);
				if (last - first + 1 > most) {
					found.push(`${organisation}: ${last - first + 1} of ${most} calls in the 5 s before ${end}`);
				}
			}
		}

		return found;
	}

	/** Fraction of the calls from `from` on that were served, of those that a single token bucket with the limit would have admitted. */
	servedBelowLimit(from: Instant, organisations: ReadonlySet<string>, limitFraction = 1): number {
		let below = 0;
		let served = 0;
		const buckets = new Map<string, {level: number; at: Instant}>();
		for (const {organisation, arrivedAt, isAllowed} of this.results.toSorted((a, b) => a.arrivedAt - b.arrivedAt)) {
			const limit = this.history[0]!.limits.get(organisation)!;
			const bucket = buckets.get(organisation) ?? {level: limit.burst, at: 0};
			bucket.level = Math.min(limit.burst, bucket.level + ((arrivedAt - bucket.at) * limit.callsPerSecond * limitFraction / 1000));
			bucket.at = arrivedAt;
			buckets.set(organisation, bucket);
			const isBelow = bucket.level >= 1;
			bucket.level -= isBelow ? 1 : 0;
			if (isBelow && arrivedAt >= from && organisations.has(organisation)) {
				below += 1;
				served += isAllowed ? 1 : 0;
			}
		}

		return served / below;
	}

	/** Calls that ran per second of an organisation, as a fraction of its limit. */
	used(organisation: string, from: Instant, to: Instant): number {
		const runs = this.results.filter(result => result.organisation === organisation && result.isAllowed && result.endedAt >= from && result.endedAt < to).length;
		return runs * 1000 / (to - from) / this.history.at(-1)!.limits.get(organisation)!.callsPerSecond;
	}

	private _mostIn(organisation: string, start: Instant, end: Instant): number {
		const inForce = this.history.filter(({at}, index) => at <= end && (this.history[index + 1]?.at ?? Infinity) + 2500 > start);
		return Math.max(...inForce.map(({limits}) => limits.get(organisation)!).map(({callsPerSecond, burst}) => (((callsPerSecond * 5) + burst) * 1.1) + 20));
	}

	private _seed(): number {
		return Math.floor(this.random.next() * (2 ** 31));
	}

	private _send(from: FleetVm, address: string, message: LimitMessage): void {
		const to = this.vms.find(vm => vm.address === address)!;
		this.messages += 1;
		this.bytes += JSON.stringify(message).length;
		this.messagesBetweenDataCentres += from.dataCentre === to.dataCentre ? 0 : 1;
		const {lost, repeated, late} = this.faults;
		for (let copy = this.random.next() < repeated ? 2 : 1; copy > 0; copy -= 1) {
			const delay = (from.dataCentre === to.dataCentre ? 0.4 : 4) + (this.random.next() < late ? 3000 * this.random.next() : this.random.next());
			if (!from.isCutOff && this.random.next() >= lost) {
				this.at(this.now + delay, () => {
					if (!to.isCutOff) {
						this.handle(to, {type: 'datagram', from: from.address, message});
					}
				});
			}
		}
	}

	/** Renews the leases of the holders that reach the store, and grants those that have ended to other VMs. */
	private _runStore(): void {
		for (let slot = 0; slot < limitSlotCount; slot += 1) {
			const lease = this._leases.get(slot);
			if (lease !== undefined && lease.until > this.now) {
				if (this._reachesStore(lease.vm)) {
					lease.until = this.now + leaseMilliseconds;
				}
			} else {
				const able = this.vms.filter(vm => this._reachesStore(vm) && vm.dataCentre === dataCentres[slot]);
				const vm = able[Math.floor(this.random.next() * able.length)];
				if (vm !== undefined) {
					this._leases.set(slot, {vm, since: this.now, until: this.now + leaseMilliseconds});
				}
			}
		}

		for (const vm of this.vms) {
			this._tellSlots(vm);
		}

		this.at(this.now + renewalMilliseconds, () => {
			this._runStore();
		});
	}

	private _reachesStore({isAlive, isSuspended, isCutOff, hasStore}: FleetVm): boolean {
		return isAlive && !isSuspended && !isCutOff && hasStore;
	}

	private _inform(vm: FleetVm): void {
		this._configure(vm);
		this._tellSlots(vm);
	}

	private _configure(vm: FleetVm): void {
		const organisations = new Map<string, OrganisationInForce>([...this.history.at(-1)!.limits].map(([name, limit]) => [name, {name, limit}]));
		this.handle(vm, {type: 'configured', version: this.history.length, organisations});
	}

	private _tellSlots(vm: FleetVm): void {
		if (!this._reachesStore(vm)) {
			return;
		}

		const leases = [...this._leases];
		const own = leases.filter(([, lease]) => lease.vm === vm).map(([slot, {since, until}]): LimitRight => ({
			slot, from: since - vm.clockOffset, until: until - leaseMilliseconds + rightMilliseconds - vm.clockOffset,
		}));
		const slots = leases.map(([slot, lease]) => ({slot, address: lease.vm.address, dataCentre: lease.vm.dataCentre}));
		// The holder learns of its right at once, the others through the registry feed.
		this.at(this.now + (own.length > 0 ? 0 : this.random.next() * 300), () => {
			if (this._reachesStore(vm)) {
				this.handle(vm, {type: 'limit-slots', slots, own});
			}
		});
	}
}
