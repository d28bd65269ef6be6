/** The platform's list of VMs, which serves a change only after a lag. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type ListedVm} from '../../common/platform/types.ts';

/** Keeps the version that is currently served and all newer ones. */
export class VmList {
	private _versions: Array<{readonly setAt: Instant; readonly vms: readonly ListedVm[]}> = [];
	private _lagMilliseconds: Milliseconds = 0;

	/** Sets the delay after which changes are served. */
	setLag(lagMilliseconds: Milliseconds): void {
		this._lagMilliseconds = lagMilliseconds;
	}

	/** Sets the list as of `now`. The first list is served at once. */
	set(vms: readonly ListedVm[], now: Instant): void {
		this._versions.push({setAt: this._versions.length === 0 ? Number.NEGATIVE_INFINITY : now, vms});
	}

	/** Returns the list to serve at `now`. */
	visible(now: Instant): readonly ListedVm[] {
		const visible = this._versions.findLast(version => version.setAt <= now - this._lagMilliseconds);
		this._versions = this._versions.slice(visible === undefined ? 0 : this._versions.indexOf(visible));
		return visible?.vms ?? [];
	}
}
