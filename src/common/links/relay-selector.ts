/** Selects the VM through which connections to a backend server go. */
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type Relay, type RelayAddress} from './types.ts';

/** Time for which a relay that has no link itself is not chosen, and one that did not respond only if all others are excluded. */
const exclusionMilliseconds: Milliseconds = 1000;

/**
 * Probability of choosing a relay that has not been used yet while others have worked: load spreads over all VMs with
 * links, and most choices work at once.
 */
const explorationProbability = 0.5;

export class RelaySelector {
	private readonly _random: RandomSource;
	private readonly _ownDataCentre: string;
	private _relays = new Map<RelayAddress, Relay>();
	/** By service and relay, since a relay may have links to some services only. */
	private readonly _excludedUntil = new Map<string, Instant>();
	private readonly _slowUntil = new Map<RelayAddress, Instant>();
	private readonly _proven = new Set<RelayAddress>();

	constructor(random: RandomSource, ownDataCentre: string) {
		this._random = random;
		this._ownDataCentre = ownDataCentre;
	}

	/** Number of VMs that may be asked, including those that failed lately. */
	get size(): number {
		return this._relays.size;
	}

	set(relays: readonly Relay[]): void {
		this._relays = new Map(relays.map(relay => [relay.address, relay]));
		this._excludedUntil.clear();
		for (const address of [...this._slowUntil.keys(), ...this._proven]) {
			if (!this._relays.has(address)) {
				this._slowUntil.delete(address);
				this._proven.delete(address);
			}
		}
	}

	has(address: RelayAddress): boolean {
		return this._relays.has(address);
	}

	/** A connection through this relay has worked. */
	recordSuccess(address: RelayAddress): void {
		if (this._relays.has(address)) {
			this._proven.add(address);
			this._slowUntil.delete(address);
		}
	}

	/** This relay has no link to a backend server of this service itself, or refuses connections. */
	recordNoLink(address: RelayAddress, service: string, now: Instant): void {
		this._proven.delete(address);
		this._excludedUntil.set(exclusionKey(address, service), now + exclusionMilliseconds);
	}

	/** This relay, or the backend server behind it, did not respond in time. */
	recordTimeout(address: RelayAddress, now: Instant): void {
		this._proven.delete(address);
		this._slowUntil.set(address, now + exclusionMilliseconds);
	}

	/**
	 * Returns a relay for a backend server in this data centre, at random; undefined = none is left. Relays in this VM's
	 * data centre or in the backend server's come first, since each further data centre on the way adds a round trip.
	 */
	choose({service, dataCentre: serverDataCentre}: {readonly service: string; readonly dataCentre: string}, tried: ReadonlySet<RelayAddress>, now: Instant): RelayAddress | undefined {
		const usable = [...this._relays.values()].filter(({address}) => !tried.has(address) && isOver(this._excludedUntil.get(exclusionKey(address, service)), now));
		const responding = usable.filter(({address}) => isOver(this._slowUntil.get(address), now));
		const able = responding.length > 0 ? responding : usable;
		const near = able.filter(({dataCentre}) => dataCentre === this._ownDataCentre || dataCentre === serverDataCentre);
		const candidates = near.length > 0 ? near : able;
		const proven = candidates.filter(({address}) => this._proven.has(address));
		const unproven = candidates.filter(({address}) => !this._proven.has(address));
		const isExploring = proven.length === 0 || (unproven.length > 0 && this._random.next() < explorationProbability);
		const drawn = isExploring ? unproven : proven;
		return drawn[Math.floor(this._random.next() * drawn.length)]?.address;
	}
}

function exclusionKey(address: RelayAddress, service: string): string {
	return `${service} ${address}`;
}

function isOver(until: Instant | undefined, now: Instant): boolean {
	return until === undefined || until <= now;
}
