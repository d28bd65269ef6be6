/**
 * Failure detector in the manner of SWIM: each VM probes one member at a time, so its cost does not grow with the size of
 * the fleet. It also sends joins to addresses at which no live member is recorded.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type MemberRecord, type PeerBody} from '../peer-messages.ts';
import {type PeerAddress, type VmIdentity} from '../types.ts';
import {type Member, type Membership} from './membership.ts';

/** Interval between probes: 2 messages a second sent and about 2 received, whatever the size of the fleet. */
const probeIntervalMilliseconds: Milliseconds = 500;

/** A member that has not answered after this time is probed through other members. Round trips take 1 to 3 ms. */
const directProbeTimeoutMilliseconds: Milliseconds = 250;

/** Members that send an indirect probe, so that a network fault between two VMs alone does not look like a failed VM. */
const indirectProbeCount = 2;

/** An unanswered relayed probe is discarded after this time. */
const relayedProbeRetentionMilliseconds: Milliseconds = 3000;

/** Interval between joins sent to addresses without a live member: network faults heal and seeds may start later. */
const joinIntervalMilliseconds: Milliseconds = 2000;
const joinTargets = 3;

type Probe = {readonly nonce: number; readonly identity: VmIdentity; readonly address: PeerAddress; isIndirect: boolean};

export class Prober {
	private readonly _send: (to: PeerAddress, body: PeerBody) => void;
	private readonly _listedAddresses = new Set<PeerAddress>();
	private readonly _relayedProbes = new Map<number, {readonly for: PeerAddress; readonly nonce: number; readonly at: Instant}>();
	private _probeOrder: VmIdentity[] = [];
	private _nonce = 0;
	private _probe: Probe | undefined;

	constructor(
		private readonly _context: FleetContext,
		private readonly _membership: Membership,
		send: (to: PeerAddress, body: PeerBody) => void,
	) {
		this._send = send;
	}

	start(): void {
		this._join();
		this._scheduleProbe();
	}

	/** Sets the addresses from the platform's list. They are join targets only; the list does not show which VMs are alive. */
	setListedAddresses(addresses: readonly PeerAddress[]): void {
		this._listedAddresses.clear();
		for (const address of addresses) {
			this._listedAddresses.add(address);
		}
	}

	get listedAddresses(): ReadonlySet<PeerAddress> {
		return this._listedAddresses;
	}

	handlePing(from: MemberRecord, nonce: number): void {
		this._send(from.peerAddress, {type: 'ping-answer', nonce});
	}

	handlePingRequest(from: MemberRecord, nonce: number, target: PeerAddress): void {
		this._nonce += 1;
		this._relayedProbes.set(this._nonce, {for: from.peerAddress, nonce, at: this._context.now});
		this._send(target, {type: 'ping', nonce: this._nonce});
	}

	handleAnswer(nonce: number): void {
		if (this._probe?.nonce === nonce) {
			this._probe = undefined;
			return;
		}

		const relayed = this._relayedProbes.get(nonce);
		this._relayedProbes.delete(nonce);
		if (relayed) {
			this._send(relayed.for, {type: 'ping-answer', nonce: relayed.nonce});
		}

		for (const [key, {at}] of this._relayedProbes) {
			if (this._context.now - at > relayedProbeRetentionMilliseconds) {
				this._relayedProbes.delete(key);
			}
		}
	}

	/** Starts the indirect probe at once, because a message to the probed member could not be delivered. */
	handleUnreachable(to: PeerAddress): void {
		if (this._probe?.address === to) {
			this._probeIndirectly(this._probe.nonce);
		}
	}

	/**
	 * Guards against declaring the whole fleet dead after a pause of this VM, when the pending probe looks unanswered and
	 * every suspicion overdue. Discards the pending probe and restarts the suspicion timeouts.
	 */
	resetAfterPause(): void {
		this._probe = undefined;
		this._membership.restartSuspicionTimeouts();
	}

	private _scheduleProbe(): void {
		this._context.timers.set('probe', this._context.now + this._context.jitter(probeIntervalMilliseconds), () => {
			this._endProbe();
			this._startProbe();
			this._scheduleProbe();
		});
	}

	private _endProbe(): void {
		const probe = this._probe;
		this._probe = undefined;
		if (probe) {
			this._membership.suspect(probe.identity);
		}
	}

	private _startProbe(): void {
		const member = this._nextTarget();
		if (!member) {
			return;
		}

		this._nonce += 1;
		const nonce = this._nonce;
		const {identity, peerAddress} = member.record;
		this._probe = {
			nonce, identity, address: peerAddress, isIndirect: false,
		};
		this._send(peerAddress, {type: 'ping', nonce});
		this._context.timers.set('probe-indirect', this._context.now + directProbeTimeoutMilliseconds, () => {
			this._probeIndirectly(nonce);
		});
	}

	/** Round robin in random order: every member is probed once before any is probed twice. */
	private _nextTarget(): Member | undefined {
		for (let attemptsLeft = this._probeOrder.length + 1; attemptsLeft > 0; attemptsLeft -= 1) {
			const identity = this._probeOrder.shift();
			const member = identity === undefined ? undefined : this._membership.members.get(identity);
			if (member && member.verdict !== 'dead') {
				return member;
			}

			if (this._probeOrder.length === 0) {
				const all = [...this._membership.members].filter(([, {verdict}]) => verdict !== 'dead').map(([key]) => key);
				this._probeOrder = this._context.pickRandom(all, all.length);
			}
		}

		return undefined;
	}

	private _probeIndirectly(nonce: number): void {
		const probe = this._probe;
		if (probe?.nonce !== nonce || probe.isIndirect) {
			return;
		}

		probe.isIndirect = true;
		const relays = this._membership.live.filter(({record}) => record.identity !== probe.identity);
		for (const {record} of this._context.pickRandom(relays, indirectProbeCount)) {
			this._send(record.peerAddress, {type: 'ping-request', nonce, target: probe.address});
		}
	}

	private _join(): void {
		const known = new Set(this._membership.live.map(({record}) => record.peerAddress));
		const dead = [...this._membership.members.values()].filter(({record, verdict}) => verdict === 'dead' && !record.isLeaving).map(({record}) => record.peerAddress);
		const candidates = [...new Set([...this._context.settings.seeds, ...this._listedAddresses, ...dead])]
			.filter(address => address !== this._context.settings.peerAddress && !known.has(address));
		for (const address of this._context.pickRandom(candidates, joinTargets)) {
			this._send(address, {type: 'join'});
		}

		this._context.timers.set('join', this._context.now + this._context.jitter(joinIntervalMilliseconds), () => {
			this._join();
		});
	}
}
