/** Reports the fleet to operators as this VM sees it: members, the configuration version of each, and the change history. */
import {type Instant} from '../model/units.ts';
import {type ConfigurationState, mutationKey} from './configuration/configuration-state.ts';
import {type FleetContext} from './fleet-context.ts';
import {type Member, type Membership} from './membership/membership.ts';
import {type ChangeRecord} from './peer-messages.ts';
import {
	type ChangeSummary, type FleetCounters, type FleetStatus, type MemberState, type MemberStatus,
} from './types.ts';

/** Values that the report takes from other components. */
export type ReportInput = Pick<FleetStatus, 'stage' | 'isCutOff' | 'newestKnownVersion' | 'isWatchingStore' | 'shareSlot' | 'shares' | 'leavingSigns'>
	& Pick<FleetCounters, 'messagesSent' | 'messagesReceived'>;

function stateOf({record, verdict}: Member): MemberState {
	return verdict === 'live' && record.isLeaving ? 'leaving' : verdict;
}

function actionOf(mutation: ChangeRecord['mutations'][number]): ChangeSummary['changes'][number]['action'] {
	if (mutation.type === 'delete') {
		return 'deleted';
	}

	return mutation.metadata.generation === 1 ? 'created' : 'replaced';
}

export class FleetReport {
	private readonly _membership: Membership;

	constructor(private readonly _context: FleetContext, private readonly _state: ConfigurationState, membership: Membership) {
		this._membership = membership;
	}

	status(now: Instant, input: ReportInput): FleetStatus {
		const {messagesSent, messagesReceived, ...rest} = input;
		const {storeContactAt, storeCalls, settings} = this._context;
		return {
			...rest,
			identity: settings.identity,
			configurationVersion: this._state.version,
			storeContactAgeMilliseconds: storeContactAt === undefined ? undefined : now - storeContactAt,
			members: [this._own(input), ...[...this._membership.members.values()].map(member => this._member(member, now, input.newestKnownVersion))],
			counters: {messagesSent, messagesReceived, storeCalls},
		};
	}

	/** The latest changes, newest first. */
	history(limit: number): readonly ChangeSummary[] {
		const members = [this._membership.own, ...[...this._membership.members.values()].filter(({verdict}) => verdict !== 'dead').map(({record}) => record)];
		return this._state.records.slice(-limit).toReversed().map(({
			version, operationId, who, when, note, mutations,
		}) => ({
			version,
			operationId,
			who,
			when,
			note,
			changes: mutations.map(mutation => ({action: actionOf(mutation), key: mutationKey(mutation)})),
			inForceOn: members.filter(({configurationVersion}) => configurationVersion >= version).map(({identity}) => identity),
			behindOn: members.filter(({configurationVersion}) => configurationVersion < version).map(({identity}) => identity),
		}));
	}

	private _own(input: ReportInput): MemberStatus {
		const {identity, peerAddress, callAddress, dataCentre, isLeaving, configurationVersion} = this._membership.own;
		return {
			identity,
			peerAddress,
			callAddress,
			dataCentre,
			state: isLeaving ? 'leaving' : 'live',
			configurationVersion,
			ageMilliseconds: 0,
			behind: configurationVersion < input.newestKnownVersion ? 'catching-up' : undefined,
		};
	}

	private _member(member: Member, now: Instant, newestKnownVersion: number): MemberStatus {
		const {identity, peerAddress, callAddress, dataCentre, configurationVersion} = member.record;
		const isBehind = configurationVersion < newestKnownVersion;
		return {
			identity,
			peerAddress,
			callAddress,
			dataCentre,
			state: stateOf(member),
			configurationVersion,
			ageMilliseconds: now - member.lastMessageAt,
			behind: isBehind ? (member.verdict === 'live' ? 'catching-up' : member.verdict) : undefined,
		};
	}
}
