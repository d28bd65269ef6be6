/** Pages that list the quarantined calls of a VM and lift a quarantine, for `jaydale quarantine`. */
import {type Quarantined} from '../common/calls/poison-requests/poison-request-detector.ts';
import {type Page, type PageHandlers} from '../node/front/page-server.ts';

const listPath = '/v1/quarantine';

export type QuarantineSource = {
	entries(): readonly Quarantined[];
	/** Allows the call to run again on all VMs. */
	lift(fingerprint: string): void;
};

/** `others` returns all other pages of the listener. */
export function quarantinePages(source: QuarantineSource, others: (url: string) => Promise<Page | undefined>): PageHandlers {
	return {
		async get(url) {
			return url === listPath ? {status: 200, contentType: 'application/json', body: JSON.stringify({entries: source.entries()})} : others(url);
		},
		delete(url) {
			const entry = source.entries().find(({fingerprint}) => url === `${listPath}/${encodeURIComponent(fingerprint)}`);
			if (entry === undefined) {
				return undefined;
			}

			source.lift(entry.fingerprint);
			return {status: 204};
		},
	};
}
