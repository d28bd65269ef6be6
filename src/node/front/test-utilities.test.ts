/** Helpers for tests of the callers' listener. */
import {type BackendServerStandIn} from '../../stand-ins/backend-server/backend-server-stand-in.ts';

export {
	limits, startFrontend, startRawServer, type Frontend,
} from '../../proof/local-frontend.ts';

export async function startBackend(backend: BackendServerStandIn): Promise<number> {
	const result = await backend.start();
	return result._unsafeUnwrap();
}
