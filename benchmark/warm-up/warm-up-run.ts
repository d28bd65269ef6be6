/** Simulates a burst of calls in which the backend servers of one data centre are cold, and many VMs send them calls without coordination. */
import {type SharedServer} from '../../src/common/calls/backend-rates/rate-quota.ts';
import {type Instant, type RandomSource} from '../../src/common/model/units.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {type WarmUpAdmission} from './admissions.ts';

const warmUpMilliseconds = 3000;
const warmCallMilliseconds = 130;
const coldSlowness = 2;
const slotsPerServer = 2;
/** Maximum number of calls queued at one backend server. */
const maxQueuedCalls = 2;
const dataCentres = ['north', 'middle', 'south'] as const;
const probesPerCall = 4;
/** Age up to which a load report is reused. */
const maxReportAgeMilliseconds = 20;
/** Load during the burst, relative to the slots of the warm data centres. */
const burstLoad = 1.1;
const burstStartMilliseconds = 4000;

/** Deviations in the VMs' membership lists. */
export type Disturbance = {
	/** Fraction of the VMs whose lists contain a random half of the others. */
	readonly partialViewFraction: number;
	/** Fraction of the VMs that start when the burst begins, with lists that contain only themselves for one second. */
	readonly lateStartFraction: number;
};

/** Figures of one burst. */
export type WarmUpFigures = {
	/** Maximum number of attempts at one cold backend server within one second. */
	readonly peakAttemptsInSecond: number;
	/** Mean number of attempts per second at a cold backend server. */
	readonly meanRate: number;
	/** Fraction of the calls for which no backend server was available. */
	readonly refused: number;
};

type Server = SharedServer & {readonly isCold: boolean; ends: Instant[]; readonly starts: Instant[]; reportedLoad: number; reportedAt: Instant};
type Vm = {readonly name: string; readonly dataCentre: string; readonly admission: WarmUpAdmission};

/** One burst through `vmCount` VMs to `serverCount` backend servers, a third of which are cold. */
export class WarmUpRun {
	private readonly _random: RandomSource;
	private readonly _servers: Server[];
	private readonly _vms: Vm[];
	private _refused = 0;
	private _calls = 0;

	constructor(vmCount: number, serverCount: number, seed: number, makeAdmission: (random: RandomSource) => WarmUpAdmission) {
		this._random = seededRandom(seed);
		this._servers = Array.from({length: serverCount}, (_, index) => ({
			identity: `s${index}`, dataCentre: dataCentres[index % dataCentres.length]!, isCold: index % dataCentres.length === 0, ends: [], starts: [], reportedLoad: 0, reportedAt: -Infinity,
		}));
		this._vms = Array.from({length: vmCount}, (_, index) => ({
			name: `10.0.0.${index}`, dataCentre: dataCentres[index % dataCentres.length]!, admission: makeAdmission(this._random),
		}));
	}

	run({partialViewFraction, lateStartFraction}: Disturbance): WarmUpFigures {
		const lateVms: Vm[] = [];
		for (const [index, vm] of this._vms.entries()) {
			const position = index / this._vms.length;
			if (position < lateStartFraction) {
				lateVms.push(vm);
				this._setMembers(vm, () => false, burstStartMilliseconds);
			} else {
				this._setMembers(vm, position < lateStartFraction + partialViewFraction ? () => this._random.next() < 0.5 : () => true, 0);
			}
		}

		const warmSlots = slotsPerServer * this._servers.filter(server => !server.isCold).length;
		const callsPerMillisecond = burstLoad * warmSlots / warmCallMilliseconds;
		for (let now = burstStartMilliseconds; now < burstStartMilliseconds + warmUpMilliseconds;) {
			now += -Math.log(1 - this._random.next()) / callsPerMillisecond;
			if (now >= burstStartMilliseconds + 1000) {
				for (const vm of lateVms.splice(0)) {
					this._setMembers(vm, () => true, now);
				}
			}

			this._placeCall(this._vms[Math.floor(this._random.next() * this._vms.length)]!, now);
		}

		const cold = this._servers.filter(server => server.isCold);
		return {
			peakAttemptsInSecond: Math.max(...cold.map(server => maxCountInSecond(server.starts))),
			meanRate: cold.reduce((sum, server) => sum + server.starts.length, 0) / cold.length / (warmUpMilliseconds / 1000),
			refused: this._refused / this._calls,
		};
	}

	private _setMembers(vm: Vm, isInView: (other: Vm) => boolean, now: Instant): void {
		const byDataCentre = new Map<string, string[]>();
		for (const other of this._vms) {
			if (other === vm || isInView(other)) {
				byDataCentre.set(other.dataCentre, [...byDataCentre.get(other.dataCentre) ?? [], other.name]);
			}
		}

		vm.admission.setMembers({own: vm.name, byDataCentre}, now);
	}

	private _placeCall(vm: Vm, now: Instant): void {
		this._calls++;
		vm.admission.recordCall(now);
		const candidates = this._servers.filter(one => !one.isCold || vm.admission.mayStart(one, now));
		const server = this._chooseServer(candidates.filter(one => one.dataCentre === vm.dataCentre), now) ?? this._chooseServer(candidates, now);
		if (server === undefined) {
			this._refused++;
			return;
		}

		if (server.isCold) {
			vm.admission.recordStart(server, now);
		}

		server.starts.push(now);
		server.ends.push(now + (warmCallMilliseconds * (server.isCold ? coldSlowness : 1)));
	}

	private _chooseServer(servers: readonly Server[], now: Instant): Server | undefined {
		const probed = servers.length === 0 ? [] : Array.from({length: probesPerCall}, () => servers[Math.floor(this._random.next() * servers.length)]!);
		return probed.filter(server => this._loadOf(server, now) < slotsPerServer + maxQueuedCalls).toSorted((one, other) => one.reportedLoad - other.reportedLoad)[0];
	}

	/** Returns the load in the latest report. Calls within 20 ms use the same report. */
	private _loadOf(server: Server, now: Instant): number {
		if (now - server.reportedAt > maxReportAgeMilliseconds) {
			server.ends = server.ends.filter(end => end > now);
			server.reportedLoad = server.ends.length;
			server.reportedAt = now;
		}

		return server.reportedLoad;
	}
}

function maxCountInSecond(starts: readonly Instant[]): number {
	let maxCount = 0;
	let first = 0;
	for (const [index, at] of starts.entries()) {
		while (at - starts[first]! >= 1000) {
			first++;
		}

		maxCount = Math.max(maxCount, index - first + 1);
	}

	return maxCount;
}
