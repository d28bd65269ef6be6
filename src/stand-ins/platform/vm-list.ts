/** The platform's list of VMs, which shows a change only after a lag. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type ListedVm} from '../../common/platform/types.ts';

/** Keeps the versions of the list that the lag still hides, and the one it shows. */
export class VmList {
	private _versions: Array<{readonly setAt: Instant; readonly vms: readonly ListedVm[]}> = [];
	private _lagMilliseconds: Milliseconds = 0;

	/** Sets how late changes show. */
	setLag(lagMilliseconds: Milliseconds): void {
		this._lagMilliseconds = lagMilliseconds;
	}

	/** Tells the true list at `now`. The first list shows at once. */
	set(vms: readonly ListedVm[], now: Instant): void {
		this._versions.push({setAt: this._versions.length === 0 ? Number.NEGATIVE_INFINITY : now, vms});
	}

	/** What a caller sees at `now`. */
	visible(now: Instant): readonly ListedVm[] {
		const visible = this._versions.findLast(version => version.setAt <= now - this._lagMilliseconds);
		this._versions = this._versions.slice(visible === undefined ? 0 : this._versions.indexOf(visible));
		return visible?.vms ?? [];
	}
}
