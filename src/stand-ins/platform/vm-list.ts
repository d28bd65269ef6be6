/** The platform's list of VMs, which shows a change only after a lag. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type ListedVm} from '../../common/platform/types.ts';

/** Keeps the versions of the list that the lag still hides, and the one it shows. */
export class VmList {
	private _versions: Array<{readonly since: Instant; readonly vms: readonly ListedVm[]}> = [];
	private _lag: Milliseconds = 0;

	/** Sets how late changes show. */
	setLag(lag: Milliseconds): void {
		this._lag = lag;
	}

	/** Tells the true list at `now`. The first list shows at once. */
	set(vms: readonly ListedVm[], now: Instant): void {
		this._versions.push({since: this._versions.length === 0 ? Number.NEGATIVE_INFINITY : now, vms});
	}

	/** What a caller sees at `now`. */
	shown(now: Instant): readonly ListedVm[] {
		const shown = this._versions.findLast(version => version.since <= now - this._lag);
		this._versions = this._versions.slice(shown === undefined ? 0 : this._versions.indexOf(shown));
		return shown?.vms ?? [];
	}
}
