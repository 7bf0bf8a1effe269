import { toAccountId } from '../../common/ids/index.js';

/** Account of callers on open routes that name no account; its rate is not limited. */
export const OPEN_ACCOUNT = toAccountId('open--callers');
