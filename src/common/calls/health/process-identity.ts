/** Identities of the processes of backend servers, by which VMs refer to them in messages. */
import {type BackendServerState} from '../backend-server-state.ts';

/**
 * Identity of a process, the same on every VM: by its start if the backend server's entry has one, else by the instance
 * that it reports. An instance that repeats the identity of the backend server adds nothing, as not all responses name it.
 */
export function processIdentityOf({identity, declared: {processStartedAt}}: Pick<BackendServerState, 'identity' | 'declared'>, instance: string | undefined): string {
	if (processStartedAt !== undefined) {
		return `${identity}@${processStartedAt}`;
	}

	return instance === undefined || instance === identity ? identity : `${identity}/${instance}`;
}
