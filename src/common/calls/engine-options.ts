import {type RandomSource} from '../model/units.ts';
import {type RateQuota} from './backend-rates/rate-quota.ts';
import {type CallEngineSettings} from './engine-context.ts';
import {type CallTuning} from './tuning.ts';

/** Parts and settings of an engine. */
export type CallEngineOptions = {
	readonly random: RandomSource;
	readonly settings: CallEngineSettings;
	/** Values that replace those of `defaultTuning`. */
	readonly tuning?: Partial<CallTuning>;
	/** Divides the call rate of a warming backend server among the VMs; undefined = this VM may use all of it. */
	readonly rateQuota?: RateQuota;
	/**
	 * Who limits attempts on backend servers that announce a rate limit: each VM by its share of the fleet, or holders that
	 * answer `server-tokens-wanted` effects; undefined = divided.
	 */
	readonly rateLimits?: 'divided' | 'granted';
	/**
	 * Hash function that all VMs share, for the choice of backend servers that each VM uses first; undefined = each uses
	 * all of them.
	 */
	readonly memberHash?: (text: string) => number;
	/** Whether something sends `demand-report` effects to other VMs; undefined = no. */
	readonly reportsDemand?: boolean;
};
