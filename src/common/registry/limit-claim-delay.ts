/** When each VM claims a vacant limit slot: delays by rank, so that usually one VM sends a claim. */
import {type Milliseconds} from '../model/units.ts';

/** Time from a claim until the other VMs know of it, in addition to the pause between two watches. */
const noticeMilliseconds: Milliseconds = 300;

/** Additional ranks by which a VM of another data centre, or one that already holds a slot, claims later. */
const otherDataCentreRanks = 2;
const holderRanks = 3;

/** This VM's place among the VMs that may claim a slot. */
export type ClaimRank = {
	/** Number of VMs of the same data centre that rank before this one. */
	readonly place: number;
	/** Number of VMs in the data centre, this one included. */
	readonly size: number;
	/** Number of VMs in all data centres, this one included. */
	readonly vmCount: number;
	/** Names of all data centres in ascending order, the own one included. */
	readonly dataCentres: readonly string[];
};

/** The VM that claims, and how long others take to read the store. */
export type Claimant = {readonly dataCentre: string; readonly heldSlots: number; readonly watchPauseMilliseconds: Milliseconds};

/**
 * Delay of the claim of a vacant slot. It is long enough that the others have learned of a claim before their turn. Slot K
 * prefers the K-th data centre, and there the first VM without a slot.
 */
export function claimDelay(slot: number, {place, size, vmCount, dataCentres}: ClaimRank, {dataCentre, heldSlots, watchPauseMilliseconds}: Claimant): Milliseconds {
	const count = dataCentres.length;
	const ordinal = Math.floor(slot / count);
	const preferred = slot % count;
	const distance = (dataCentres.indexOf(dataCentre) - preferred + count) % count;
	const ranks = (place >= ordinal ? place - ordinal : size - ordinal + place) + (distance * otherDataCentreRanks) + (heldSlots * holderRanks);
	// In a small fleet nobody else would claim in the meantime.
	return Math.min(ranks, vmCount - 1) * (watchPauseMilliseconds + noticeMilliseconds);
}
