/** Path on which a model server reports its state; such a request occupies no slot of the server. */
export const SERVER_REPORT_PATH = "/-/report";
