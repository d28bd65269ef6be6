/** A data centre's backend servers come back cold in a burst, and many VMs that do not talk to one another send them calls. */
import {type SharedServer} from '../../src/common/calls/rate-quota.ts';
import {type Instant, type RandomSource} from '../../src/common/model/units.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {type WarmUpAdmission} from './admissions.ts';

const warmUpMilliseconds = 3000;
const usualMilliseconds = 130;
const coldSlowness = 2;
const slots = 2;
/** Calls that one backend server holds beyond its slots. */
const queueRoom = 2;
const dataCentres = ['north', 'middle', 'south'] as const;
const probesACall = 4;
/** Age of a report when it is used. */
const reportAge = 20;
/** Load against the slots of the data centres that are warm, in a burst. */
const burstLoad = 1.1;
const settledAt = 4000;

/** What disturbs the VMs' knowledge of one another. */
export type Disturbance = {
	/** Part of the VMs that know a random half of the others. */
	readonly halfSighted: number;
	/** Part of the VMs that start when the burst begins, and know nobody for a second. */
	readonly started: number;
};

/** What came of one burst. */
export type WarmUpFigures = {
	/** Most attempts that one cold backend server got within a second. */
	readonly worstSecond: number;
	/** Attempts a second that a cold backend server got in the mean. */
	readonly meanRate: number;
	/** Part of the calls that found no place. */
	readonly refused: number;
};

type Server = SharedServer & {readonly isCold: boolean; ends: Instant[]; readonly starts: Instant[]; seenLoad: number; seenAt: Instant};
type Vm = {readonly name: string; readonly dataCentre: string; readonly admission: WarmUpAdmission};

/** One burst of `vmCount` VMs on `serverCount` backend servers, a third of them cold. */
export class WarmUpRun {
	private readonly _random: RandomSource;
	private readonly _servers: Server[];
	private readonly _vms: Vm[];
	private _refused = 0;
	private _calls = 0;

	constructor(vmCount: number, serverCount: number, seed: number, admissionOf: (random: RandomSource) => WarmUpAdmission) {
		this._random = seededRandom(seed);
		this._servers = Array.from({length: serverCount}, (_, index) => ({
			identity: `s${index}`, dataCentre: dataCentres[index % dataCentres.length]!, isCold: index % dataCentres.length === 0, ends: [], starts: [], seenLoad: 0, seenAt: -Infinity,
		}));
		this._vms = Array.from({length: vmCount}, (_, index) => ({
			name: `10.0.0.${index}`, dataCentre: dataCentres[index % dataCentres.length]!, admission: admissionOf(this._random),
		}));
	}

	run({halfSighted, started}: Disturbance): WarmUpFigures {
		const late: Vm[] = [];
		for (const [index, vm] of this._vms.entries()) {
			const place = index / this._vms.length;
			if (place < started) {
				late.push(vm);
				this._tell(vm, () => false, settledAt);
			} else {
				this._tell(vm, place < started + halfSighted ? () => this._random.next() < 0.5 : () => true, 0);
			}
		}

		const warmSlots = slots * this._servers.filter(server => !server.isCold).length;
		const callsAMillisecond = burstLoad * warmSlots / usualMilliseconds;
		for (let now = settledAt; now < settledAt + warmUpMilliseconds;) {
			now += -Math.log(1 - this._random.next()) / callsAMillisecond;
			if (now >= settledAt + 1000) {
				for (const vm of late.splice(0)) {
					this._tell(vm, () => true, now);
				}
			}

			this._call(this._vms[Math.floor(this._random.next() * this._vms.length)]!, now);
		}

		const cold = this._servers.filter(server => server.isCold);
		return {
			worstSecond: Math.max(...cold.map(server => mostWithinSecond(server.starts))),
			meanRate: cold.reduce((sum, server) => sum + server.starts.length, 0) / cold.length / (warmUpMilliseconds / 1000),
			refused: this._refused / this._calls,
		};
	}

	private _tell(vm: Vm, knows: (other: Vm) => boolean, now: Instant): void {
		const byDataCentre = new Map<string, string[]>();
		for (const other of this._vms) {
			if (other === vm || knows(other)) {
				byDataCentre.set(other.dataCentre, [...byDataCentre.get(other.dataCentre) ?? [], other.name]);
			}
		}

		vm.admission.setMembers({own: vm.name, byDataCentre}, now);
	}

	private _call(vm: Vm, now: Instant): void {
		this._calls++;
		vm.admission.noteCall(now);
		const able = this._servers.filter(one => !one.isCold || vm.admission.mayStart(one, now));
		const server = this._place(able.filter(one => one.dataCentre === vm.dataCentre), now) ?? this._place(able, now);
		if (server === undefined) {
			this._refused++;
			return;
		}

		if (server.isCold) {
			vm.admission.noteStart(server, now);
		}

		server.starts.push(now);
		server.ends.push(now + (usualMilliseconds * (server.isCold ? coldSlowness : 1)));
	}

	private _place(servers: readonly Server[], now: Instant): Server | undefined {
		const probed = servers.length === 0 ? [] : Array.from({length: probesACall}, () => servers[Math.floor(this._random.next() * servers.length)]!);
		return probed.filter(server => this._loadOf(server, now) < slots + queueRoom).toSorted((one, other) => one.seenLoad - other.seenLoad)[0];
	}

	/** Reports are shared by the calls of a moment, so that several choose by the same one. */
	private _loadOf(server: Server, now: Instant): number {
		if (now - server.seenAt > reportAge) {
			server.ends = server.ends.filter(end => end > now);
			server.seenLoad = server.ends.length;
			server.seenAt = now;
		}

		return server.seenLoad;
	}
}

function mostWithinSecond(starts: readonly Instant[]): number {
	let most = 0;
	let first = 0;
	for (const [index, at] of starts.entries()) {
		while (at - starts[first]! >= 1000) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}
